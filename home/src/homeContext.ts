import { type DatabaseView, laterOf, type LogPosition, ORIGIN } from '@briarpick/types'
import { type RetryBudget } from '@briarpick/admission'
import { type Watermarks } from '@briarpick/session'
import { type Dispatcher, type DispatchRequest } from './createDispatcher.js'
import { type Durability } from './createDurability.js'
import { type DurabilityOutlook } from './createGroupKeeper.js'
import { type TargetSet } from './createTargetSet.js'
import { type HomeOptions, type HomeRequest } from './homeTypes.js'

/** What the parts of one home share. */
export interface HomeContext {
  readonly database: string
  readonly opts: HomeOptions
  readonly view: () => DatabaseView
  /** True while this home may act: it has the lease, the epoch, and is not handing over. */
  readonly mayAct: () => boolean
  readonly isReleasing: () => boolean
  readonly targets: TargetSet
  readonly dispatcher: Dispatcher
  readonly durability: Durability
  readonly watermarks: Watermarks
  readonly retries: RetryBudget
  /** False until this home knows where its predecessor's writes ended. */
  readonly isFloorKnown: () => boolean
  /** Whether enough replicas are there to hold a write. */
  readonly durabilityOutlook: () => DurabilityOutlook
  /** Notes a position that was, or is about to be, acknowledged. */
  readonly noteAcknowledged: (position: LogPosition) => void
}

/** No replica reaches this position. */
const UNREACHABLE: LogPosition = { term: Infinity, offset: 0 }

/** What a request asks of the dispatcher. */
export function dispatchRequest (context: HomeContext, req: HomeRequest, deadline: number): DispatchRequest {
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
  if (!context.isFloorKnown()) return UNREACHABLE
  const { watermarks } = context
  if (consistency.current === true) return watermarks.latest()
  const hasToken = consistency.token !== undefined
  const session = watermarks.of(consistency.session ?? (hasToken ? NO_SESSION : undefined))
  return laterOf(session, consistency.token ?? ORIGIN)
}

/** A session name that no caller has: only the floor applies to it. */
const NO_SESSION = ''
