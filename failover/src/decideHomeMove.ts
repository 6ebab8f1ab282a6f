import { chooseHomeByFitness, fitnessPerHome } from './chooseHomeByFitness.js'
import { type DatabaseStep, type LiveProxy, NO_STEP, type StepInput } from './decideDatabaseStep.js'

/** Ratio of the fitness per home from which a move is worth its pause; the ratio of the move back is then at most one half. */
const MIN_GAIN = 2
/**
 * Time for which a home must have been in its place, and the next proxy must have held its lease, in ms. Proxies that start together
 * are then all known, and a proxy whose connection comes and goes draws no homes.
 */
const SETTLE_MS = 1000

/**
 * Moves the home of a database with a usable primary to a VM that is far fitter. Homes are assigned as soon as they are missed, from the
 * proxies that are there at that moment; this corrects an assignment once fitter VMs have come back. Returns undefined if the home stays.
 */
export function decideHomeMove (input: StepInput): DatabaseStep | undefined {
  const { now, view, holder, proxies, homeCounts, homeSince } = input
  if (holder === undefined || homeSince === undefined || now - homeSince < SETTLE_MS || !hasUsablePrimary(input)) return undefined
  const current = proxies.find(({ proxy }) => proxy === holder.proxy) ?? holder
  if (current.leaving) return undefined
  const homesOf = ({ proxy }: LiveProxy) => homeCounts?.get(proxy) ?? 0
  const fromScore = fitnessPerHome(current, Math.max(0, homesOf(current) - 1))
  const isSettled = ({ leasedSince }: LiveProxy) => leasedSince !== undefined && now - leasedSince >= SETTLE_MS
  const fitter = proxies.filter((proxy) => proxy.proxy !== current.proxy && fitnessPerHome(proxy, homesOf(proxy)) >= MIN_GAIN * fromScore)
  const next = chooseHomeByFitness(view, fitter.filter(isSettled), current.proxy, homeCounts)
  if (next === undefined) return undefined
  const toScore = fitnessPerHome(next, homesOf(next))
  return { ...NO_STEP, releaseHome: true, homeMove: { reason: 'fitter', from: current.proxy, to: next.proxy, fromScore, toScore } }
}

/** False while the primary is missing, silent or being replaced: a new home would begin to observe it anew. */
function hasUsablePrimary ({ view, report }: StepInput): boolean {
  if (view.state !== 'open' || report === undefined || (report.promotion ?? null) !== null) return false
  return report.targets.every(({ instance, reachability }) => instance !== view.primary || reachability === 'ok')
}
