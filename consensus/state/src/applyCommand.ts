import {
  type Announcement,
  type ControlCommand,
  type DatabaseView,
  type Member,
  type RouteTable,
  type SignedBundle,
  type SubmitBundleResult,
  type SubmitRoutesResult,
} from '@briarpick/types'
import { unpackRoutes } from '@briarpick/routes'
import { type ControlState } from './controlState.js'
import { viewOf } from './viewOf.js'

/** The effect of a command. */
export type CommandOutcome =
  | { readonly kind: 'changed' }
  | { readonly kind: 'unchanged' }
  | { readonly kind: 'bundle', readonly verdict: SubmitBundleResult }
  | { readonly kind: 'routes', readonly verdict: SubmitRoutesResult }

/** The state after a command, and the effect of the command. */
export interface ApplyResult {
  readonly state: ControlState
  readonly outcome: CommandOutcome
}

type Handler<K extends ControlCommand['kind']> =
  (state: ControlState, command: Extract<ControlCommand, { kind: K }>, index: number) => ApplyResult

const HANDLERS: { readonly [K in ControlCommand['kind']]: Handler<K> } = {
  noop: unchanged,
  joinTarget: (state, command, index) => {
    const { announcement } = command
    const view = viewOf(state, announcement.database) ?? newView(announcement)
    if (hasDeparted(view, announcement)) return unchanged(state)
    const members = [...view.members.filter((member) => !isReplacedBy(member, announcement)), memberOf(announcement)]
    const replaced = view.members.filter((member) => isReplacedBy(member, announcement))
    const hasLostLog = replaced.some((member) => member.instance !== announcement.instance || member.startedAt !== announcement.startedAt)
    return changed(state, { ...view, ...hasLostLog ? { unconfirmedLoss: index } : {}, members, changedAt: index })
  },
  setTargetState: (state, command, index) =>
    changeView(state, command.database, index, (view) => ({
      ...view,
      members: view.members.map((member) => member.instance === command.instance ? { ...member, state: command.state } : member),
    })),
  removeTarget: (state, command, index) =>
    changeView(state, command.database, index, (view) => {
      if (view.primary === command.instance || view.inSync.includes(command.instance)) return view
      const removed = view.members.find((member) => member.instance === command.instance)
      if (removed === undefined) return view
      const members = view.members.filter((member) => member !== removed)
      return { ...view, ...departedWith(view, command.hasLeft === true ? removed : undefined), unconfirmedLoss: index, members }
    }),
  assignHome: (state, command, index) =>
    changeView(state, command.database, index, (view) => {
      if (view.homeEpoch !== command.fromEpoch) return view
      const epoch = command.fromEpoch + 1
      const { proxy, address, fitness } = command
      return { ...view, homeEpoch: epoch, home: { proxy, address, epoch, ...fitness === undefined ? {} : { fitness } } }
    }),
  freeze: (state, command, index) =>
    changeView(state, command.database, index, (view) => {
      if (view.term !== command.fromTerm || !mayFreeze(view, command.heir)) return view
      return { ...view, term: command.fromTerm + 1, state: 'promoting', primary: null, heir: command.heir ?? null }
    }),
  open: (state, command, index) =>
    changeView(state, command.database, index, (view) => {
      const mayAdvanceTerm = view.state === 'forming' || isPromotedByPlatform(view)
      const isExpectedTerm = mayAdvanceTerm ? view.term <= command.term : view.term === command.term
      if (!isExpectedTerm || view.state === 'open' || !isMember(view, command.primary)) return view
      return { ...view, term: command.term, state: 'open', primary: command.primary, inSync: command.inSync, heir: null }
    }),
  setInSync: (state, command, index) =>
    changeView(state, command.database, index, (view) => {
      if (view.term !== command.term || view.state !== 'open') return view
      const { unconfirmedLoss, ...rest } = view
      const isConfirmed = unconfirmedLoss === undefined || unconfirmedLoss === command.confirmedLoss
      return { ...isConfirmed ? rest : view, inSync: command.inSync }
    }),
  submitBundle: (state, command, index) => {
    const verdict = decideBundle(state.bundle, command.bundle)
    const next = verdict.kind === 'accepted' ? { ...state, bundle: command.bundle, bundleIndex: index } : state
    return { state: next, outcome: { kind: 'bundle', verdict } }
  },
  submitRoutes: (state, command) => {
    const routes = unpackRoutes(command.packed)
    const verdict = decideRoutes(state.routes?.table ?? null, routes.table)
    const next = verdict.kind === 'accepted' ? { ...state, routes } : state
    return { state: next, outcome: { kind: 'routes', verdict } }
  },
}

/** Applies the command of a log entry at `index`. A command that was decided in an earlier term or home epoch has no effect. */
export function applyCommand (state: ControlState, command: ControlCommand, index: number): ApplyResult {
  const handle = Object.hasOwn(HANDLERS, command.kind) ? HANDLERS[command.kind] as Handler<ControlCommand['kind']> : unchanged
  return handle(state, command, index)
}

/**
 * Accepts a bundle with a higher version than the current one; submitting the current bundle again is idempotent. Refuses a
 * lower version, and another bundle of the same version.
 */
export function decideBundle (current: SignedBundle | null, bundle: SignedBundle): SubmitBundleResult {
  const { version, digest } = bundle
  if (current === null || version > current.version) return { kind: 'accepted', version, digest }
  if (version < current.version) return { kind: 'refusedOlder', version, holdingVersion: current.version }
  if (digest === current.digest) return { kind: 'alreadyAccepted', version, digest }
  return { kind: 'refusedConflict', version, holdingDigest: current.digest, holdingSigner: current.signer }
}

/** Accepts a route table with a higher version than the current one; any other has no effect. */
export function decideRoutes (current: RouteTable | null, table: RouteTable): SubmitRoutesResult {
  const { version } = table
  if (current === null || version > current.version) return { kind: 'accepted', version }
  return { kind: 'superseded', version, holdingVersion: current.version }
}

/** Number of departed targets that a view remembers: more than a group replaces while an announcement may be on its way. */
const MAX_DEPARTED = 16

/** The departed targets of the view, with one more if it reported when its process started. */
function departedWith ({ departed = [] }: DatabaseView, member: Member | undefined): Pick<DatabaseView, 'departed'> {
  if (member?.startedAt === undefined) return {}
  return { departed: [...departed, { instance: member.instance, startedAt: member.startedAt }].slice(-MAX_DEPARTED) }
}

/** True if the announcement was made by a process that has left since. */
export function hasDeparted ({ departed = [] }: DatabaseView, { instance, startedAt }: Announcement): boolean {
  return startedAt !== undefined && departed.some((each) => each.instance === instance && startedAt <= each.startedAt)
}

/** True if the announcement replaces the member: it is of the same instance, or of one at the same address that did not start earlier. */
function isReplacedBy (member: Member, { instance, address, startedAt }: Announcement): boolean {
  if (member.instance === instance) return true
  const isSameAddress = member.address.host === address.host && member.address.port === address.port
  return isSameAddress && startedAt !== undefined && startedAt >= (member.startedAt ?? 0)
}

/** True if the view is open, or waits for a promotion by the platform and the command names another target to promote. */
function mayFreeze (view: DatabaseView, heir: string | undefined): boolean {
  return view.state === 'open' || (isPromotedByPlatform(view) && heir !== undefined && heir !== view.heir)
}

function isPromotedByPlatform (view: DatabaseView): boolean {
  return view.state === 'promoting' && view.heir !== undefined && view.heir !== null
}

function unchanged (state: ControlState): ApplyResult {
  return { state, outcome: { kind: 'unchanged' } }
}

function changed (state: ControlState, view: DatabaseView): ApplyResult {
  return { state: { ...state, views: { ...state.views, [view.database]: view } }, outcome: { kind: 'changed' } }
}

function changeView (
  state: ControlState,
  database: string,
  index: number,
  change: (view: DatabaseView) => DatabaseView
): ApplyResult {
  const view = viewOf(state, database)
  if (view === undefined) return unchanged(state)
  const next = change(view)
  return next === view ? unchanged(state) : changed(state, { ...next, changedAt: index })
}

function newView (announcement: Announcement): DatabaseView {
  return {
    service: announcement.service,
    database: announcement.database,
    term: 0,
    state: 'forming',
    primary: null,
    inSync: [],
    members: [],
    home: null,
    homeEpoch: 0,
    changedAt: 0,
  }
}

function memberOf (announcement: Announcement): Member {
  const { instance, dataCentre, address, state, startedAt, slots } = announcement
  return { instance, dataCentre, address, state, startedAt, slots }
}

function isMember (view: DatabaseView, instance: string): boolean {
  return view.members.some((member) => member.instance === instance)
}
