import { Result } from 'true-myth'
import { BriarpickError } from '@briarpick/error'
import { formatEvent, type LogValue } from '@briarpick/logs'

/** A line of a process's log. */
interface LogLine {
  /** Time of day of its VM, in ms since 1970. */
  readonly at: number
  readonly vm: string
  readonly process: string
  readonly topic: string
  readonly event: string
  readonly fields: Readonly<Record<string, LogValue>>
}

/** Events that change what a process believes; all others concern one request or the process itself. */
const BELIEFS: ReadonlySet<string> = new Set([
  'judgePrimary', 'askPromotion', 'freeze', 'promote', 'open', 'view', 'floor', 'stepDown', 'stalled', 'enter', 'leave', 'releasing', 'finished',
  'assignHome', 'outOfTouch', 'inTouch', 'renewalFailed', 'renewed', 'role', 'changeVoters', 'routes', 'announced', 'withdrawn', 'started',
  'stopping', 'leaving', 'left', 'reload',
])

/**
 * The story of a request: the lines that carry its id, and the changes of belief around them, in the order of time. Changes
 * that name another database than the request's are left out.
 */
export function explainRequest (
  id: string,
  logs: readonly string[],
  opts: { readonly aroundMs: number }
): Result<readonly string[], BriarpickError> {
  const lines = logs.flatMap((log) => log.split('\n').flatMap(parseLine)).sort((a, b) => a.at - b.at)
  const own = lines.filter(({ fields }) => fields.id === id)
  if (own.length === 0) {
    return Result.err(new BriarpickError('ERR_BRIARPICK_USAGE', `no line carries the id ${id}`, {
      hint: 'name the logs of the entry and of the home; lines left out under load are counted as omitted on the next one',
    }))
  }
  const from = own[0].at - opts.aroundMs
  const until = own[own.length - 1].at + opts.aroundMs
  const databases = new Set(own.flatMap(({ fields }) => typeof fields.database === 'string' ? [fields.database] : []))
  const story = lines.filter((line) => line.fields.id === id || (line.at >= from && line.at <= until && concerns(line, databases)))
  return Result.ok(story.map((line) => formatLine(line, id, own[0].at)))
}

function concerns ({ event, fields }: LogLine, databases: ReadonlySet<string>): boolean {
  if (!BELIEFS.has(event)) return false
  const about = fields.database ?? fields.key
  return typeof about !== 'string' || databases.size === 0 || databases.has(about.split('/')[0])
}

/** Lines that are no JSON events, such as those of a crash, have no place in time and are passed over. */
function parseLine (text: string): readonly LogLine[] {
  if (!text.startsWith('{')) return []
  try {
    const { time, vm, process, topic, event, level: _level, ...fields } = JSON.parse(text) as Record<string, LogValue>
    const at = Date.parse(String(time))
    return Number.isNaN(at) || typeof event !== 'string' ? [] : [{ at, vm: String(vm), process: String(process), topic: String(topic), event, fields }]
  } catch {
    return []
  }
}

function formatLine ({ at, vm, process, topic, event, fields }: LogLine, id: string, since: number): string {
  const mark = fields.id === id ? '>' : ' '
  const offset = `${at >= since ? '+' : ''}${at - since} ms`
  return `${mark} ${offset.padStart(9)} ${vm}/${process} ${topic} ${formatEvent(event, fields)}`
}
