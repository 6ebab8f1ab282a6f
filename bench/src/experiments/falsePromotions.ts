import { setTimeout as sleep } from 'node:timers/promises'
import { startSystem } from '@briarpick/harness'
import { DEFAULT_MIX, runLoad } from '@briarpick/load'
import { atMost, type Experiment } from '../parts/experiment.js'

const JITTER_MS = 200
const PACKET_LOSS_RATIO = 0.01
const DATABASES = ['ledger-1', 'ledger-2', 'ledger-3']

/** Promotions while no process fails but the connections to control have jitter and packet loss. */
export const falsePromotions: Experiment = async ({ short, print }) => {
  const seconds = short ? 30 : 600
  const system = await startSystem({ proxies: 9, databases: DATABASES, standIn: { lagMs: 100 }, bundle: 'version = 1\n' })
  const faultProxies = [...system.proxies, ...system.controls].flatMap(({ controlFaultProxies }) => [...controlFaultProxies.values()])
  for (const faultProxy of faultProxies) faultProxy.set({ jitterMs: JITTER_MS, lossRatio: PACKET_LOSS_RATIO })
  const load = runLoad({
    proxies: system.proxies.map(({ callers }) => callers),
    databases: DATABASES,
    ratePerSecond: 100,
    seconds,
    seed: 5,
    mix: DEFAULT_MIX,
    sessions: 10,
    maxAgeMs: 1000,
    connectionsPerProxy: 4,
  })
  const { operations, broken } = await load
  for (const faultProxy of faultProxies) faultProxy.set({ jitterMs: 0, lossRatio: 0 })
  await sleep(1000)
  const { views } = await system.status()
  await system.close()
  const promotions = views.reduce((sum, view) => sum + view.term - 1, 0)
  const homeChanges = views.reduce((sum, view) => sum + view.homeEpoch - 1, 0)
  const notDone = operations.filter(({ outcome }) => outcome !== 'done').length
  print(`${seconds} s: ${promotions} promotions, ${homeChanges} home changes, ${notDone} of ${operations.length} operations not done`)
  return {
    name: 'falsePromotions',
    aims: [
      atMost(`promotions in ${seconds} s of ${JITTER_MS} ms jitter and 1% loss`, promotions, 0),
      atMost('promises broken meanwhile', broken.length, 0),
    ],
    data: { seconds, promotions, homeChanges, notDone, operations: operations.length },
  }
}
