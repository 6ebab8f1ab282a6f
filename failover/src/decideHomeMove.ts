import { chooseHomeByFitness, COMPARABLE_FRACTION, fitnessPerHome } from './chooseHomeByFitness.js'
import { type DatabaseStep, type HomeMoveReason, type LiveProxy, NO_STEP, type StepInput } from './databaseStep.js'

/**
 * Ratio of the fitness per home, after and before, from which a move is worth its pause. At 2 the way back would gain at most a half;
 * a home leaves an overloaded VM for any comparable one.
 */
const MIN_GAIN: Readonly<Record<HomeMoveReason, number>> = { fitter: 2, overloaded: COMPARABLE_FRACTION }
/**
 * Fitness per home with which a home is well served, that of a VM of full capacity with four homes: no other VM is then worth the pause of
 * a move.
 */
const ADEQUATE_FITNESS_PER_HOME = 0.25
/**
 * Time for which a home must have been in its place, and the next proxy must have held its lease, in ms: several renewals. Proxies that
 * start together are then all known, and one whose connection comes and goes draws no homes.
 */
const SETTLE_MS = 500

/**
 * Moves a home to a VM that is far fitter, or away from an overloaded one. Homes are assigned as soon as they are missed, from the
 * proxies that are there at that moment; this corrects an assignment once fitter VMs have come back. Returns undefined if the home
 * stays, as it does while all VMs of comparable fitness are overloaded too.
 */
export function decideHomeMove (input: StepInput): DatabaseStep | undefined {
  const { now, view, holder, proxies, homeCounts, homeSince } = input
  if (holder === undefined || homeSince === undefined || now - homeSince < SETTLE_MS) return undefined
  const current = proxies.find(({ proxy }) => proxy === holder.proxy) ?? holder
  const reason = current.overloaded === true ? 'overloaded' : 'fitter'
  if (current.leaving || (reason === 'fitter' && !hasUsablePrimary(input))) return undefined
  const homesOf = ({ proxy }: LiveProxy) => homeCounts?.get(proxy) ?? 0
  const fromScore = fitnessPerHome(current, Math.max(0, homesOf(current) - 1))
  if (reason === 'fitter' && fromScore >= ADEQUATE_FITNESS_PER_HOME) return undefined
  const isBetter = (proxy: LiveProxy) => proxy.proxy !== current.proxy && proxy.recentlyOverloaded !== true &&
    fitnessPerHome(proxy, homesOf(proxy)) >= MIN_GAIN[reason] * fromScore
  const isSettled = ({ leasedSince }: LiveProxy) => leasedSince !== undefined && now - leasedSince >= SETTLE_MS
  const next = chooseHomeByFitness(view, proxies.filter((proxy) => isBetter(proxy) && isSettled(proxy)), current.proxy, homeCounts)
  if (next === undefined) return undefined
  const toScore = fitnessPerHome(next, homesOf(next))
  return { ...NO_STEP, releaseHome: true, homeMove: { reason, from: current.proxy, to: next.proxy, fromScore, toScore } }
}

/** False while the primary is missing, silent or being replaced: a new home would begin to observe it anew. */
function hasUsablePrimary ({ view, report }: StepInput): boolean {
  if (view.state !== 'open' || report === undefined || (report.promotion ?? null) !== null) return false
  return report.targets.every(({ instance, reachability }) => instance !== view.primary || reachability === 'ok')
}
