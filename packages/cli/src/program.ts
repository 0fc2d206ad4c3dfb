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

const answersOption = ['--answers <file>', 'Answers file (default: answers.yaml)'] as const;
const storeOption = [
  '--store <url>',
  'URL of the store, or several with commas between (or SHALLOTCROFT_STORE)',
] as const;
const daemonOption = [
  '--daemon <address:port>',
  'Address and peer port of any daemon (or SHALLOTCROFT_DAEMON)',
] as const;
const jsonOption = ['--json', 'Print JSON'] as const;

function defineAnswerCommands(program: CAC, context: CommandContext): void {
  program
    .command('init', 'Write an answers file, from the questionnaire or from an example')
    .option(...answersOption)
    .option('--example <name>', 'Example to write: reading-circles or cairnlea')
    .option('--force', 'Overwrite an existing file')
    .example('  shallotcroft init --example reading-circles')
    .action((flags: InitFlags) => runInit(context, flags));
  program
    .command('check', 'Check the answers file')
    .option(...answersOption)
    .option(...jsonOption)
    .example('  shallotcroft check --answers answers.yaml')
    .action((flags: CommandFlags) => runCheck(context, flags));
  program
    .command('generate', 'Show the configuration generated from the answers')
    .option(...answersOption)
    .option(...jsonOption)
    .example('  shallotcroft generate --json')
    .action((flags: CommandFlags) => runGenerate(context, flags));
  program
    .command('explain <call>', 'Show the settings of one call and the reasons for them')
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
    .command('apply', 'Generate the configuration from the answers and make it the accepted one')
    .option(...answersOption)
    .option(...storeOption)
    .option('--base <revision>', 'Fail unless this is still the accepted revision')
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
    .command('status', 'Show which daemons have the newest configuration in force')
    .option(...daemonOption)
    .option('--all', 'List every daemon')
    .option(...jsonOption)
    .example('  shallotcroft status --daemon 10.0.0.7:7401')
    .action((flags: StatusFlags) => runStatus(context, flags));
  program
    .command('histograms', 'Show the histograms of one daemon')
    .option(...daemonOption)
    .option('--measure <name>', 'Show only latency, queueTime, attempts or concurrency')
    .option('--group <name>', 'Show only histograms by importance or by caller')
    .option(...jsonOption)
    .example('  shallotcroft histograms --measure latency --daemon 10.0.0.7:7401')
    .action((flags: HistogramsFlags) => runHistograms(context, flags));
  program
    .command('drain <target>', 'Drain the target on a host: it gets no new calls')
    .option(...daemonOption)
    .option(...jsonOption)
    .example('  shallotcroft drain host-17 --daemon 10.0.0.7:7401')
    .action((host: string, flags: CommandFlags) => runDrain(context, host, flags));
  program
    .command(
      'reassign <service> <shard>',
      'Assign a shard to another daemon after its home and deputy have ended',
    )
    .option('--to <host>', 'Host of a serving target of the service')
    .option(
      '--ended <incarnations>',
      'Incarnations of home and deputy, both known to have ended, with a comma between',
    )
    .option(...storeOption)
    .option(...daemonOption)
    .option(...jsonOption)
    .example('  shallotcroft reassign payments 7 --to host-3 --ended 0190-a,0190-b')
    .action((service: string, shard: string, flags: ReassignFlags) =>
      runReassign(context, service, shard, flags),
    );
}

/** Runs the command in `args` (the command line without node and script); returns the exit code. */
export async function runProgram(args: string[], context: CommandContext): Promise<number> {
  const program = cac('shallotcroft');
  defineAnswerCommands(program, context);
  defineStoreCommands(program, context);
  defineDaemonCommands(program, context);
  program.help();
  program.version(VERSION);
  const isJson = args.includes('--json');
  try {
    const { options } = program.parse(['node', 'shallotcroft', ...args], { run: false });
    if (options.help || options.version) return ExitCode.ok;
    if (!program.matchedCommand) {
      const message = args[0] ? `unknown command ${args[0]}` : 'no command given';
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
