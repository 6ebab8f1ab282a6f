import { defineCommand } from 'citty'
import { formatAddress } from '@briarpick/types'
import { startProxy } from '@briarpick/daemon-proxy'
import { proxySchema, readTomlFile } from '@briarpick/settings'
import { awaitStopSignal } from './awaitStopSignal.js'
import { guardDaemon } from './guardDaemon.js'

/** `briarpick proxy` */
export const proxyCommand = defineCommand({
  meta: { name: 'proxy', description: 'Run a proxy daemon' },
  args: {
    settings: { type: 'string', required: true, description: 'settings file in TOML', valueHint: 'file' },
    check: { type: 'boolean', description: 'check the settings and exit' },
  },
  async run ({ args }) {
    const settings = readTomlFile(args.settings, proxySchema)
    if (settings.isErr) throw settings.error
    if (args.check === true) {
      process.stdout.write(`${args.settings}: valid\n`)
      return
    }
    let onDrained = () => {}
    const drained = new Promise<void>((resolve) => { onDrained = resolve })
    const daemon = await startProxy(settings.value, { onDrained })
    guardDaemon()
    process.stdout.write(`${JSON.stringify({ callers: formatAddress(daemon.callersAddress), rpc: formatAddress(daemon.rpcAddress) })}\n`)
    await Promise.race([awaitStopSignal(), drained])
    await daemon.drain()
    await daemon.close()
    process.exit(0)
  },
})
