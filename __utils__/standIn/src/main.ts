import { createStandIn } from './createStandIn.js'
import { STAND_IN_DEFAULTS, type StandInOptions } from './standInOptions.js'

const opts = { ...STAND_IN_DEFAULTS, ...JSON.parse(process.argv[2] ?? '{}') } as StandInOptions
const standIn = await createStandIn(opts)
process.stdout.write(JSON.stringify({ address: standIn.address }) + '\n')
process.on('SIGTERM', () => {
  standIn.close().then(() => process.exit(0), () => process.exit(1))
})
