export { runProgram } from './program.js';
export type { CommandContext, Files, Ask } from './commandContext.js';
export type { Output } from './output.js';
export { ExitCode, exitCodeOf } from './exitCode.js';
export { exampleNames, readExample } from './examples.js';
