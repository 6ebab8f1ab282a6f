import { type ControlCommand, type DatabaseView } from '@briarpick/types'
import {
  commandStep,
  type DatabaseStep,
  decideFormingStep,
  decideHomeStep,
  fitnessOf,
  isRemovable,
  type LiveProxy,
  NO_STEP,
  type StepInput,
} from './decideDatabaseStep.js'

/**
 * Decides the next step of a database whose promotions the platform carries out. Only the home connects to the targets, so
 * it requests a promotion; control commits the promotion to the log before it calls the platform.
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
  return decideConfirmationStep(input) ?? decideRemovalStep(input)
}

/** Ends the time in which a target's loss counts as unconfirmed, once the home has confirmed it. */
function decideConfirmationStep ({ view, report }: StepInput): DatabaseStep | undefined {
  const { confirmedLoss } = report ?? {}
  if (view.state !== 'open' || confirmedLoss === undefined || confirmedLoss !== view.unconfirmedLoss) return undefined
  return commandStep({ kind: 'setInSync', database: view.database, term: view.term, inSync: view.inSync, confirmedLoss })
}

/**
 * True if the promotion of a target may be proposed. During a promotion, another target may be proposed only once no call of an
 * earlier leader to the platform can still arrive.
 */
function mayPromote ({ view, earlierLeasesExpired }: StepInput, heir: string): boolean {
  if (!view.members.some(({ instance }) => instance === heir)) return false
  return view.state === 'open' || (view.heir !== heir && earlierLeasesExpired)
}

function decideRemovalStep ({ view, report }: StepInput): DatabaseStep {
  if (view.state !== 'open') return NO_STEP
  const removable = report?.targets.find((target) => isRemovable(target, view))
  if (removable === undefined) return NO_STEP
  const command: ControlCommand = { kind: 'removeTarget', database: view.database, instance: removable.instance }
  return commandStep(command)
}

/** Fitness factor of the VM that also hosts the leader: its loss takes the leader too, so its homes wait for an election and a lease. */
const LEADER_HOST_FITNESS_FACTOR = 0.4

/** Returns the proxies, with reduced fitness on the leader's host. */
export function reduceFitnessOnLeaderHost (leaderHost: string, proxies: readonly LiveProxy[]): readonly LiveProxy[] {
  return proxies.map((proxy) => proxy.linkAddress.host === leaderHost
    ? { ...proxy, homeFitness: fitnessOf(proxy) * LEADER_HOST_FITNESS_FACTOR }
    : proxy)
}

/**
 * Chooses the proxy with the highest fitness per home, counting the new home; prefers any other proxy to the previous home.
 * Ties go to a proxy in the data centre of a replica, since most statements are reads, which replicas serve; then by name.
 */
export function chooseHomeByFitness (
  view: DatabaseView,
  proxies: readonly LiveProxy[],
  previous: string | undefined,
  homeCounts: ReadonlyMap<string, number> = new Map()
): LiveProxy | undefined {
  const staying = proxies.filter((proxy) => !proxy.leaving)
  const others = staying.filter((proxy) => proxy.proxy !== previous)
  const replicaDataCentres = new Set(view.members.filter(({ instance }) => instance !== view.primary).map(({ dataCentre }) => dataCentre))
  const score = (proxy: LiveProxy) => fitnessOf(proxy) / (1 + (homeCounts.get(proxy.proxy) ?? 0))
  const isNear = (proxy: LiveProxy) => Number(replicaDataCentres.has(proxy.dataCentre))
  return [...others.length > 0 ? others : staying]
    .sort((a, b) => score(b) - score(a) || isNear(b) - isNear(a) || a.proxy.localeCompare(b.proxy))[0]
}
