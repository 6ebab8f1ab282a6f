import { defineCommand } from 'citty'
import { formatAddress } from '@briarpick/types'
import { initDataFolder } from '@briarpick/consensus-log'
import { startControl } from '@briarpick/daemon-control'
import { controlSchema, readTomlFile } from '@briarpick/settings'
import { awaitStopSignal } from './awaitStopSignal.js'
import { guardDaemon } from './guardDaemon.js'
import { reportFailure, EXIT_FAILURE } from './reportFailure.js'

/** `briarpick control` */
export const controlCommand = defineCommand({
  meta: { name: 'control', description: 'Run a control daemon, on a VM that has a disk' },
  args: {
    settings: { type: 'string', required: true, description: 'settings file in TOML', valueHint: 'file' },
    check: { type: 'boolean', description: 'check the settings and exit' },
    init: { type: 'boolean', description: 'create the data folder of a new cluster and exit; once on each control VM' },
  },
  async run ({ args }) {
    const checked = readTomlFile(args.settings, controlSchema)
    if (checked.isErr) throw checked.error
    const settings = checked.value
    if (args.check === true) {
      process.stdout.write(`${args.settings}: valid\n`)
      return
    }
    if (args.init === true) {
      initDataFolder(settings.data_folder, settings.name, Object.keys(settings.nodes))
      process.stdout.write(`${settings.data_folder}: ready for node ${settings.name}\n`)
      return
    }
    const daemon = await startControl(settings, {
      onFatal (err) {
        reportFailure(err)
        process.exit(EXIT_FAILURE)
      },
    })
    guardDaemon()
    process.stdout.write(`${JSON.stringify({ control: formatAddress(daemon.address) })}\n`)
    await awaitStopSignal()
    await daemon.close()
    process.exit(0)
  },
})
