import { type ControlCommand, type DatabaseView } from '@briarpick/types'
import {
  isRemovable,
  decideFormingStep,
  decideHomeStep,
  type DatabaseStep,
  type StepInput,
  type LiveProxy,
  NO_STEP,
  commandStep,
} from './decideDatabaseStep.js'

/** Fitness from which a VM carries a home without strain. */
const FIT = 1

/**
 * Decides the next step of a database whose promotions the platform carries out. The home, which alone uses the targets,
 * asks for a promotion; control orders it in the log before the platform is called.
 */
export function decidePlatformGroupStep (input: StepInput): DatabaseStep {
  const homeStep = decideHomeStep(input, chooseHomeByFitness)
  if (homeStep !== undefined) return homeStep
  const { view, report } = input
  if (report === undefined) return NO_STEP
  if (view.state === 'forming') return decideFormingStep(input)
  if (report.term !== view.term) return NO_STEP
  if (view.state === 'promoting' && report.promoted !== null) {
    const term = report.promotedTerm ?? view.term
    return commandStep({ kind: 'open', database: view.database, term, primary: report.promoted, inSync: [] })
  }
  const { promotion } = report
  if (promotion?.fromTerm === view.term && mayPromote(input, promotion.heir)) {
    return commandStep({ kind: 'freeze', database: view.database, fromTerm: view.term, heir: promotion.heir })
  }
  return judgeForgotten(input)
}

/** Another heir than the logged one is named only once no call of an earlier leader can still arrive. */
function mayPromote ({ view, earlierLeasesExpired: isSettled }: StepInput, heir: string): boolean {
  if (!view.members.some(({ instance }) => instance === heir)) return false
  return view.state === 'open' || (view.heir !== heir && isSettled)
}

function judgeForgotten ({ view, report }: StepInput): DatabaseStep {
  if (view.state !== 'open') return NO_STEP
  const gone = report?.targets.find((target) => isRemovable(target, view))
  if (gone === undefined) return NO_STEP
  const command: ControlCommand = { kind: 'removeTarget', database: view.database, instance: gone.instance }
  return commandStep(command)
}

/** Fitness that is left to a VM beside the leader: its loss takes the leader too, and homes then wait for an election and a lease. */
const FITNESS_BESIDE_LEADER = 0.4

/** Proxies with their fitness as it is for homes, given the host of the leader. */
export function reduceFitnessOnLeaderHost (leaderHost: string, proxies: readonly LiveProxy[]): readonly LiveProxy[] {
  return proxies.map((proxy) => proxy.linkAddress.host === leaderHost
    ? { ...proxy, homeFitness: (proxy.homeFitness ?? FIT) * FITNESS_BESIDE_LEADER }
    : proxy)
}

/**
 * The fittest proxy with the fewest homes; among equals one in the data centre of a replica, since most statements are reads,
 * which replicas serve; then the name decides.
 */
export function chooseHomeByFitness (
  view: DatabaseView,
  proxies: readonly LiveProxy[],
  previous: string | undefined,
  homesOf: ReadonlyMap<string, number> = new Map()
): LiveProxy | undefined {
  const staying = proxies.filter((proxy) => !proxy.leaving)
  const others = staying.filter((proxy) => proxy.proxy !== previous)
  const places = new Set(view.members.filter(({ instance }) => instance !== view.primary).map(({ dataCentre }) => dataCentre))
  const score = (proxy: LiveProxy) => (proxy.homeFitness ?? FIT) / (1 + (homesOf.get(proxy.proxy) ?? 0))
  const isNear = (proxy: LiveProxy) => Number(places.has(proxy.dataCentre))
  return [...others.length > 0 ? others : staying]
    .sort((a, b) => score(b) - score(a) || isNear(b) - isNear(a) || a.proxy.localeCompare(b.proxy))[0]
}
