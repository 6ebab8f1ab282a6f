import { type DatabaseView, type HomeReport } from '@briarpick/types'
import { chooseHomeByFitness, COMPARABLE_FRACTION } from './chooseHomeByFitness.js'
import { decideHomeMove } from './decideHomeMove.js'
import { commandStep, type DatabaseStep, NO_STEP, type StepInput } from './databaseStep.js'
import { decideFormingStep } from './decideDatabaseStep.js'
import { decideHomeStep } from './decideHomeStep.js'
import { decideRemovalStep } from './decideRemovalStep.js'

/**
 * Time of a new leader within which it assigns no home to a VM with a fraction of the fitness of the earlier one, in ms: about twice
 * the time until the leases of its predecessor have expired, so that VMs that start at half of the usual speed are known.
 */
const FITTER_VM_WAIT_MS = 2000

/**
 * Decides the next step of a database whose promotions the platform carries out. Only the home connects to the targets, so
 * it requests a promotion; control commits the promotion to the log before it calls the platform.
 */
export function decidePlatformGroupStep (input: StepInput): DatabaseStep {
  // Anyone may announce a target: a service that no configuration names gets no home, and so no connection.
  const homeStep = input.isConfigured === false ? undefined : decideHomeStep(input, chooseHomeByFitness)
  if (homeStep !== undefined) return awaitsFitterVm(input, homeStep) ? NO_STEP : homeStep
  const { view, report } = input
  if (report === undefined) return NO_STEP
  if (view.state === 'forming') return decideFormingStep(input)
  if (report.term !== view.term) return NO_STEP
  if (view.state === 'promoting' && report.promoted !== null) {
    const term = report.promotedTerm ?? view.term
    return commandStep({ kind: 'open', database: view.database, term, primary: report.promoted, inSync: [] })
  }
  const { promotion } = report
  if (promotion?.fromTerm === view.term && promotion.raisesTerm !== true && mayPromote(input, promotion.heir)) {
    return commandStep({ kind: 'freeze', database: view.database, fromTerm: view.term, heir: promotion.heir })
  }
  return decideConfirmationStep(input) ?? decideRemovalStep(input) ?? decideHomeMove(input) ?? NO_STEP
}

/**
 * True while a new leader may not know yet of a VM like that of the earlier home. After a power cut, the VMs that were running have renewed
 * their leases with it long before those that have just started.
 */
function awaitsFitterVm ({ now, view, leaderSince }: StepInput, { homeChoice }: DatabaseStep): boolean {
  const earlierFitness = view.home?.fitness
  if (homeChoice === undefined || earlierFitness === undefined || leaderSince === undefined) return false
  return now - leaderSince < FITTER_VM_WAIT_MS && homeChoice.fitness < COMPARABLE_FRACTION * earlierFitness
}

/** Ends the time in which a target's loss counts as unconfirmed, once the home has confirmed it. */
function decideConfirmationStep ({ view, report }: StepInput): DatabaseStep | undefined {
  const { confirmedLoss } = report ?? {}
  if (view.state !== 'open' || confirmedLoss === undefined || confirmedLoss !== view.unconfirmedLoss) return undefined
  return commandStep({ kind: 'setInSync', database: view.database, term: view.term, inSync: view.inSync, confirmedLoss })
}

/**
 * The instance that the platform is to promote for a view: its heir; or, once the heir leads in a term below the view's, the one that the
 * home names to raise the platform's term. Undefined if none is to be promoted.
 */
export function instanceToPromote (
  view: DatabaseView,
  report: HomeReport | undefined,
  earlierLeasesExpired: boolean
): string | undefined {
  if (view.state !== 'promoting' || typeof view.heir !== 'string') return undefined
  const promotion = report?.promotion
  const mayRaise = promotion?.raisesTerm === true && promotion.fromTerm === view.term && earlierLeasesExpired
  return mayRaise && view.members.some(({ instance }) => instance === promotion.heir) ? promotion.heir : view.heir
}

/**
 * True if the promotion of a target may be proposed. During a promotion, another target may be proposed only once no call of an
 * earlier leader to the platform can still arrive.
 */
function mayPromote ({ view, earlierLeasesExpired }: StepInput, heir: string): boolean {
  if (!view.members.some(({ instance }) => instance === heir)) return false
  return view.state === 'open' || (view.heir !== heir && earlierLeasesExpired)
}
