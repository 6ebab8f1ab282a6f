import { type Address, type ControlCommand, type DatabaseView, type HomeAssignment } from '@briarpick/types'
import {
  commandStep,
  type DatabaseStep,
  type HomeChangeReason,
  type HomeChoiceInputs,
  type LiveProxy,
  NO_STEP,
  type StepInput,
} from './databaseStep.js'
import { rendezvousScore } from './rendezvousScore.js'

/** Fitness of a VM with full capacity for homes. */
const FULL_FITNESS = 1

/**
 * Assigns a home to a database whose home has no valid lease, has released the database or has restarted. Returns undefined
 * if the home stays, and an empty step if a new one may not or cannot be assigned yet.
 */
export function decideHomeStep (input: StepInput, choose: HomeChoice = chooseHome): DatabaseStep | undefined {
  const { view, proxies } = input
  const reason = homeChangeReason(input)
  if (reason === undefined) return undefined
  if (reason === 'leaseExpired' && !input.earlierLeasesExpired) return NO_STEP
  const next = choose(view, proxies, view.home?.proxy, input.homeCounts)
  if (next === undefined) return NO_STEP
  const { proxy, linkAddress: address, homeFitness: fitness } = next
  const assignment = { database: view.database, fromEpoch: view.homeEpoch, proxy, address }
  const command: ControlCommand = { kind: 'assignHome', ...assignment, ...fitness === undefined ? {} : { fitness } }
  return { ...commandStep(command), homeChoice: describeHomeChoice(input, reason, next) }
}

/** Why the database needs a home; undefined while its home holds it. */
function homeChangeReason ({ view: { home }, holder, proxies, report }: StepInput): HomeChangeReason | undefined {
  if (report?.released === true) return 'released'
  if (home !== null && isHomeRestarted(home, proxies)) return 'restarted'
  if (holder !== undefined) return undefined
  return home === null ? 'noHome' : 'leaseExpired'
}

function describeHomeChoice ({ view, proxies, homeCounts }: StepInput, reason: HomeChangeReason, next: LiveProxy): HomeChoiceInputs {
  const candidates = proxies.filter(({ leaving }) => !leaving)
  return {
    reason,
    proxy: next.proxy,
    fitness: fitnessOf(next),
    homes: homeCounts?.get(next.proxy) ?? 0,
    previous: view.home?.proxy,
    candidates: candidates.length,
    highestFitness: Math.max(...candidates.map(fitnessOf)),
  }
}

/** Fitness of a proxy's VM for homes, from 0 to 1. */
export function fitnessOf ({ homeFitness = FULL_FITNESS }: LiveProxy): number {
  return homeFitness
}

/** True if a later process of the same proxy listens at the home's address: the home has exited, even if its lease is still valid. */
function isHomeRestarted (home: HomeAssignment, proxies: readonly LiveProxy[]): boolean {
  return proxies.some(({ proxy, linkAddress }) => isLaterProcess(proxy, linkAddress, home.proxy, home.address))
}

/** True if both are processes of the same proxy at the same address, but different ones. Names are `name#incarnation`. */
export function isLaterProcess (proxy: string, address: Address, earlier: string, earlierAddress: Address): boolean {
  const isSameAddress = address.host === earlierAddress.host && address.port === earlierAddress.port
  return isSameAddress && proxy !== earlier && proxy.split('#')[0] === earlier.split('#')[0]
}

/** A function that chooses the home of a database; undefined if no proxy can be one. */
export type HomeChoice = (
  view: DatabaseView,
  proxies: readonly LiveProxy[],
  previous: string | undefined,
  homeCounts: ReadonlyMap<string, number> | undefined
) => LiveProxy | undefined

/** Chooses a home by rendezvous hashing; prefers proxies other than the previous home, then those in the primary's data centre. */
export function chooseHome (view: DatabaseView, proxies: readonly LiveProxy[], previous: string | undefined): LiveProxy | undefined {
  const otherProxies = proxies.filter((proxy) => !proxy.leaving && proxy.proxy !== previous)
  const eligible = otherProxies.length > 0 ? otherProxies : proxies.filter((proxy) => !proxy.leaving)
  const primaryDataCentre = view.members.find((member) => member.instance === view.primary)?.dataCentre
  const sameDataCentre = eligible.filter((proxy) => proxy.dataCentre === primaryDataCentre)
  return rankByScore(sameDataCentre.length > 0 ? sameDataCentre : eligible, view.database)[0]
}

/** Sorts proxies by their rendezvous score, so that few databases move when a proxy joins or leaves. */
export function rankByScore (proxies: readonly LiveProxy[], database: string): readonly LiveProxy[] {
  return proxies
    .map((proxy) => ({ proxy, score: rendezvousScore(proxy.proxy, database) }))
    .sort((a, b) => b.score - a.score)
    .map(({ proxy }) => proxy)
}
