#!/usr/bin/env node
// Not part of the build output, so that npm can link the command before the first build.
import '@shallotcroft/daemon/main';
