import { cac } from 'cac';
import type { CAC } from 'cac';
import { runApply } from './applyCommand.js';
import type { ApplyFlags } from './applyCommand.js';
import { runCheck } from './checkCommand.js';
import { badRequest } from './commandContext.js';
import type { CommandContext, CommandFlags, CommandResult } from './commandContext.js';
import { runDiff } from './diffCommand.js';
import { runDrain } from './drainCommand.js';
import { ExitCode, exitCodeOf } from './exitCode.js';
import { runExplain } from './explainCommand.js';
import { runGenerate } from './generateCommand.js';
import { runHistograms } from './histogramsCommand.js';
import type { HistogramsFlags } from './histogramsCommand.js';
import { runHistory } from './historyCommand.js';
import { runInit } from './initCommand.js';
import type { InitFlags } from './initCommand.js';
import { printFailure } from './output.js';
import { runReassign } from './reassignCommand.js';
import type { ReassignFlags } from './reassignCommand.js';
import { runStatus } from './statusCommand.js';
import type { StatusFlags } from './statusCommand.js';

const VERSION = '0.1.0';

const answersOption = [
  '--answers <file>',
  'File with the answers (default: answers.yaml)',
] as const;
const storeOption = [
  '--store <url>',
  'Store, several with commas (or SHALLOTCROFT_STORE)',
] as const;
const daemonOption = [
  '--daemon <address:port>',
  'Peer port of any daemon (or SHALLOTCROFT_DAEMON)',
] as const;
const jsonOption = ['--json', 'Print JSON for scripts'] as const;

function defineAnswerCommands(program: CAC, context: CommandContext): void {
  program
    .command('init', 'Write answers: ask the questionnaire, or take an example')
    .option(...answersOption)
    .option('--example <name>', 'reading-circles or cairnlea')
    .option('--force', 'Overwrite the file')
    .example('  shallotcroft init --example reading-circles')
    .action((flags: InitFlags) => runInit(context, flags));
  program
    .command('check', 'Check the answers')
    .option(...answersOption)
    .option(...jsonOption)
    .example('  shallotcroft check --answers answers.yaml')
    .action((flags: CommandFlags) => runCheck(context, flags));
  program
    .command('generate', 'Show the configuration that follows from the answers')
    .option(...answersOption)
    .option(...jsonOption)
    .example('  shallotcroft generate --json')
    .action((flags: CommandFlags) => runGenerate(context, flags));
  program
    .command('explain <call>', 'Say everything that follows for one call')
    .option(...answersOption)
    .option(...jsonOption)
    .example('  shallotcroft explain catalogue.hold')
    .action((call: string, flags: CommandFlags) => runExplain(context, call, flags));
}

function defineStoreCommands(program: CAC, context: CommandContext): void {
  program
    .command('diff', 'Show what applying the answers would change')
    .option(...answersOption)
    .option(...storeOption)
    .option(...jsonOption)
    .example('  shallotcroft diff --store http://10.0.0.1:2379')
    .action((flags: CommandFlags) => runDiff(context, flags));
  program
    .command('apply', 'Make the answers the accepted configuration')
    .option(...answersOption)
    .option(...storeOption)
    .option('--base <revision>', 'Refuse if another revision is accepted by now')
    .option(...jsonOption)
    .example('  shallotcroft apply --base 7 --store http://10.0.0.1:2379')
    .action((flags: ApplyFlags) => runApply(context, flags));
  program
    .command('history [revision]', 'List the accepted revisions, or show one')
    .option(...storeOption)
    .option(...jsonOption)
    .example('  shallotcroft history 7')
    .action((revision: string | undefined, flags: CommandFlags) =>
      runHistory(context, revision, flags),
    );
}

function defineDaemonCommands(program: CAC, context: CommandContext): void {
  program
    .command('status', 'Show where the configuration is in force')
    .option(...daemonOption)
    .option('--all', 'Name every daemon')
    .option(...jsonOption)
    .example('  shallotcroft status --daemon 10.0.0.7:7401')
    .action((flags: StatusFlags) => runStatus(context, flags));
  program
    .command('histograms', 'Draw the histograms of one daemon')
    .option(...daemonOption)
    .option('--measure <name>', 'latency, queueTime, attempts or concurrency')
    .option('--group <name>', 'importance or caller')
    .option(...jsonOption)
    .example('  shallotcroft histograms --measure latency --daemon 10.0.0.7:7401')
    .action((flags: HistogramsFlags) => runHistograms(context, flags));
  program
    .command('drain <target>', 'Drain the target on a host: no new work goes there')
    .option(...daemonOption)
    .option(...jsonOption)
    .example('  shallotcroft drain host-17 --daemon 10.0.0.7:7401')
    .action((host: string, flags: CommandFlags) => runDrain(context, host, flags));
  program
    .command('reassign <service> <shard>', 'Give away a shard whose home and deputy have ended')
    .option('--to <host>', 'Host of a serving target of the service')
    .option('--ended <incarnations>', 'Home and deputy, which you know to have ended')
    .option(...storeOption)
    .option(...daemonOption)
    .option(...jsonOption)
    .example('  shallotcroft reassign payments 7 --to host-3 --ended 0190-a,0190-b')
    .action((service: string, shard: string, flags: ReassignFlags) =>
      runReassign(context, service, shard, flags),
    );
}

/** Runs one command line, without the names of program and script; returns the exit code. */
export async function runProgram(words: string[], context: CommandContext): Promise<number> {
  const program = cac('shallotcroft');
  defineAnswerCommands(program, context);
  defineStoreCommands(program, context);
  defineDaemonCommands(program, context);
  program.help();
  program.version(VERSION);
  const isJson = words.includes('--json');
  try {
    const { options } = program.parse(['node', 'shallotcroft', ...words], { run: false });
    if (options.help || options.version) return ExitCode.ok;
    if (!program.matchedCommand) {
      const message = words[0] ? `there is no command ${words[0]}` : 'give a command';
      printFailure(context.output, badRequest(`${message}; see: shallotcroft --help`), isJson);
      return ExitCode.badRequest;
    }
    const result = await (program.runMatchedCommand() as CommandResult);
    if (result.isOk()) return exitCodeOf(result.value);
    printFailure(context.output, result.error, isJson);
    return exitCodeOf(result.error.code);
  } catch (error) {
    if ((error as Error).name !== 'CACError') throw error;
    const message = `${(error as Error).message}; see: shallotcroft --help`;
    printFailure(context.output, badRequest(message), isJson);
    return ExitCode.badRequest;
  }
}
