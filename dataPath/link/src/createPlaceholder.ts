import { statementFailure, type StatementReply, type StatementRequest } from '@briarpick/types'
import { type StatementLinkMessage } from './statementLinkCodec.js'

/** No database has this name, so that no proxy is its home. */
const NO_DATABASE = ''

/** What a proxy that cannot read a message with binary texts is to take it for. */
export function createPlaceholder (message: StatementLinkMessage): StatementLinkMessage {
  switch (message.kind) {
    case 'run': return { ...message, request: createRefusedRequest(message.request) }
    case 'outcome': return { ...message, outcome: { state: message.outcome.state, reply: withoutTexts(message.outcome.reply) } }
    case 'rollBack': return { ...message, database: NO_DATABASE, transaction: '' }
    case 'acknowledge': return { ...message, database: NO_DATABASE }
    default: return message
  }
}

/** A request that any proxy refuses with `not_home`. */
function createRefusedRequest (request: StatementRequest): StatementRequest {
  const { priority, aimMs, ageMs, deadlineMs } = request
  return {
    database: NO_DATABASE,
    id: '',
    team: null,
    transaction: null,
    begins: null,
    beginId: null,
    action: { kind: 'query', access: 'read', text: '' },
    values: [],
    freshness: { current: false, maxAgeMs: 0, seen: null },
    priority,
    aimMs,
    ageMs,
    deadlineMs,
  }
}

/** The rows are lost, so what is known of a statement that ran is lost too; a failure keeps its kind. */
function withoutTexts (reply: StatementReply): StatementReply {
  if (reply.kind === 'error') return { ...reply, text: reply.reason }
  return statementFailure('outcomeUnknown', 'unreadable_reply')
}
