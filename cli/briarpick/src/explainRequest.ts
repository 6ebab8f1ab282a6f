import { Result } from 'true-myth'
import { BriarpickError } from '@briarpick/error'
import { formatEvent, type LogValue } from '@briarpick/logs'

/** Parsed line of a process's log. */
interface LogLine {
  /** Wall-clock time of its VM, in ms since the Unix epoch. */
  readonly timeMs: number
  readonly vm: string
  readonly process: string
  readonly topic: string
  readonly event: string
  readonly fields: Readonly<Record<string, LogValue>>
}

/** Events that record a change in a process's view of the system; all others concern one request or the process itself. */
const STATE_CHANGE_EVENTS: ReadonlySet<string> = new Set([
  'primaryDecision', 'promotionRequested', 'freeze', 'promotionAttempted', 'open', 'viewChanged', 'floorSet', 'stepDownSent',
  'processPaused', 'homeStarted', 'homeEnded', 'homeReleasing', 'homeDrained', 'assignHome', 'homeMoveRequested', 'overloaded',
  'controlUnreachable', 'controlReachable', 'renewalFailed', 'renewalRecovered', 'roleChanged', 'storageFailed', 'storageRecovered',
  'voterChangeProposed', 'votersCommitted', 'routes', 'targetAnnounced', 'targetWithdrawn', 'removeTarget', 'targetsChanged',
  'announcementIgnored', 'announcementPrevails', 'started',
  'stopping', 'draining', 'drained', 'reload',
])

/**
 * Builds the timeline of a request from the texts of several logs: the lines with its id and, within `aroundMs` before and
 * after them, the state changes, in chronological order. State changes of other databases are left out. Errors:
 * ERR_BRIARPICK_USAGE if no line has the id.
 */
export function explainRequest (
  id: string,
  logs: readonly string[],
  opts: { readonly aroundMs: number }
): Result<readonly string[], BriarpickError> {
  const lines = logs.flatMap((log) => log.split('\n').flatMap(parseLine)).sort((a, b) => a.timeMs - b.timeMs)
  const requestLines = lines.filter(({ fields }) => hasId(fields, id))
  if (requestLines.length === 0) {
    return Result.err(new BriarpickError('ERR_BRIARPICK_USAGE', `no log line has the id ${id}`, {
      hint: 'pass the logs of the entry and of the home; under load the logger omits lines and counts them as omitted on the next one',
    }))
  }
  const from = requestLines[0].timeMs - opts.aroundMs
  const until = requestLines[requestLines.length - 1].timeMs + opts.aroundMs
  const databases = new Set(requestLines.flatMap(({ fields }) => typeof fields.database === 'string' ? [fields.database] : []))
  const timeline = lines.filter((line) => hasId(line.fields, id) ||
    (line.timeMs >= from && line.timeMs <= until && isRelevantStateChange(line, databases)))
  return Result.ok(timeline.map((line) => formatLine(line, id, requestLines[0].timeMs)))
}

function isRelevantStateChange ({ event, fields }: LogLine, databases: ReadonlySet<string>): boolean {
  if (!STATE_CHANGE_EVENTS.has(event)) return false
  const { database, key } = fields
  if (databases.size === 0) return true
  if (typeof database === 'string') return databases.has(database)
  // Earlier versions logged the commands of control with a key: the database, or the database and an instance joined with a slash.
  return typeof key !== 'string' || [...databases].some((each) => key === each || key.startsWith(`${each}/`))
}

/** True for the id of a line, also if the logger has cut it. */
function hasId (fields: LogLine['fields'], id: string): boolean {
  if (typeof fields.id !== 'string') return false
  const isCut = typeof fields.cut === 'string' && fields.cut.split(',').includes('id')
  return isCut ? id.startsWith(fields.id) : fields.id === id
}

/** Parses a log line. Lines that are not JSON events, such as those of a crash, have no timestamp and are skipped. */
function parseLine (text: string): readonly LogLine[] {
  if (!text.startsWith('{')) return []
  try {
    const { time, vm, process, topic, event, level: _level, ...fields } = JSON.parse(text) as Record<string, LogValue>
    const timeMs = Date.parse(String(time))
    return Number.isNaN(timeMs) || typeof event !== 'string' ? [] : [{ timeMs, vm: String(vm), process: String(process), topic: String(topic), event, fields }]
  } catch {
    return []
  }
}

function formatLine ({ timeMs, vm, process, topic, event, fields }: LogLine, id: string, originMs: number): string {
  const marker = hasId(fields, id) ? '>' : ' '
  const offset = `${timeMs >= originMs ? '+' : ''}${timeMs - originMs} ms`
  return `${marker} ${offset.padStart(9)} ${vm}/${process} ${topic} ${formatEvent(event, fields)}`
}
