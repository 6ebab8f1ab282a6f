import { type DatabaseView, laterOf, type LogPosition, ORIGIN } from '@briarpick/types'
import { type RetryBudget } from '@briarpick/admission'
import { type Watermarks } from '@briarpick/session'
import { type Dispatcher, type DispatchRequest } from './createDispatcher.js'
import { type Durability } from './createDurability.js'
import { type ReplicaAvailability } from './createGroupReconciler.js'
import { type TargetSet } from './createTargetSet.js'
import { type HomeOptions, type HomeRequest } from './homeTypes.js'

/** State and services shared by the modules of one home. */
export interface HomeContext {
  readonly database: string
  readonly opts: HomeOptions
  readonly view: () => DatabaseView
  /** True while this home holds its lease and epoch and is not released. */
  readonly isActive: () => boolean
  readonly isReleasing: () => boolean
  readonly targets: TargetSet
  readonly dispatcher: Dispatcher
  readonly durability: Durability
  readonly watermarks: Watermarks
  readonly retries: RetryBudget
  /** False until this home has learned an upper bound of the positions acknowledged by its predecessor. */
  readonly isFloorKnown: () => boolean
  /** Whether enough replicas are available to make a write durable. */
  readonly replicaAvailability: () => ReplicaAvailability
  /** Records a position that was, or is about to be, acknowledged. */
  readonly recordAcknowledged: (position: LogPosition) => void
}

/** A watermark that no replica reaches. */
const BEYOND_ANY_POSITION: LogPosition = { term: Infinity, offset: 0 }

/** Converts a request to the form in which the dispatcher queues and routes it. */
export function toDispatchRequest (context: HomeContext, req: HomeRequest, deadline: number): DispatchRequest {
  const { consistency } = req
  return {
    caller: req.caller,
    access: req.access,
    maxAgeMs: consistency.maxAgeMs,
    deadline,
    watermark: () => watermarkOf(context, req),
  }
}

function watermarkOf (context: HomeContext, { consistency }: HomeRequest): LogPosition {
  if (!context.isFloorKnown()) return BEYOND_ANY_POSITION
  const { watermarks } = context
  if (consistency.current === true) return watermarks.latest()
  const hasToken = consistency.token !== undefined
  const sessionPosition = watermarks.positionFor(consistency.session ?? (hasToken ? NO_SESSION : undefined))
  return laterOf(sessionPosition, consistency.token ?? ORIGIN)
}

/** A session name that no caller uses, so that only the floor applies. */
const NO_SESSION = ''
