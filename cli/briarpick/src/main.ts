import { type CommandDef, defineCommand, renderUsage, runCommand } from 'citty'
import { reportFailure, EXIT_USAGE } from './reportFailure.js'
import { bundleCommand } from './bundle/bundleCommand.js'
import { controlCommand } from './controlCommand.js'
import { drainCommand } from './drainCommand.js'
import { explainCommand } from './explainCommand.js'
import { loadCommand } from './loadCommand.js'
import { proxyCommand } from './proxyCommand.js'
import { statusCommand } from './statusCommand.js'

type AnyCommand = CommandDef<any>

const rootCommand = defineCommand({
  meta: { name: 'briarpick', description: 'A database proxy with session consistency' },
  subCommands: {
    proxy: proxyCommand,
    control: controlCommand,
    bundle: bundleCommand,
    status: statusCommand,
    drain: drainCommand,
    explain: explainCommand,
    load: loadCommand,
  },
})

/** Runs the command in the arguments. Exit codes: 0, 1 for failures, 2 for invalid usage. */
export async function main (args: readonly string[]): Promise<void> {
  if (args.length === 0 || args.includes('--help') || args.includes('-h')) {
    process.stdout.write(await renderCommandUsage(args) + '\n')
    if (args.length === 0) process.exitCode = EXIT_USAGE
    return
  }
  try {
    await runCommand(rootCommand, { rawArgs: [...args] })
  } catch (err) {
    reportFailure(err)
  }
}

/** Renders the usage of the most specific command in the arguments. */
async function renderCommandUsage (args: readonly string[]): Promise<string> {
  let command: AnyCommand = rootCommand
  let parent: AnyCommand | undefined
  for (const arg of args) {
    const commands = (command.subCommands ?? {}) as Readonly<Record<string, AnyCommand>>
    const next = Object.hasOwn(commands, arg) ? commands[arg] : undefined
    if (next === undefined) break
    parent = command
    command = next
  }
  return await renderUsage(command, parent)
}
