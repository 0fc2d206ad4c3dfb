#!/usr/bin/env node
// Stands apart from what is built, so that it is there to be linked before the first build.
import '@shallotcroft/daemon/main';
