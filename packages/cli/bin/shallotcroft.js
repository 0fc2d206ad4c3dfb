#!/usr/bin/env node
// Kept outside dist, so that npm can link the command before the first build.
import '@shallotcroft/cli/main';
