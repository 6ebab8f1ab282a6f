import { type Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { type StandInGroup } from './createStandInGroup.js'
import { type StandInInstance } from './createStandInInstance.js'

/** The instance's end of one connection. */
export interface WireEnd {
  take: (line: string) => void
  close: () => void
}

const WAIT_STEP_MS = 2
const LONGEST_WAIT_MS = 500

interface Prepared {
  readonly access: string
  readonly shape: string
}

/** Serves one connection, a statement at a time. */
export function serveWire (instance: StandInInstance, group: StandInGroup, socket: Socket): WireEnd {
  const prepared = new Map<string, Prepared>()
  let started = false
  let state: 'I' | 'T' | 'E' = 'I'
  let writes: Array<readonly [string, string]> = []
  let readOnly = false
  let queue = Promise.resolve()

  function write (text: string): void {
    if (!socket.destroyed) socket.write(text)
  }

  function position (): string {
    const last = instance.applied().at(-1)
    return last === undefined ? `${instance.heldTerm()}.0` : `${last.term}.${last.number}`
  }

  function finish (lines: readonly string[]): void {
    write([...lines, `READY ${state} ${position()}`].map((line) => `${line}\r\n`).join(''))
  }

  function fail (code: string): void {
    if (state === 'T') state = 'E'
    finish([`ERROR ${code} ${instance.id}`])
  }

  function signed (rows: readonly string[] = []): void {
    finish([...rows.map((row) => `DATAROW ${row}`), `COMPLETE ${instance.id}.${position()}`])
  }

  function valueOf (item: string): string {
    const own = writes.findLast(([name]) => name === item)
    if (own !== undefined) return own[1]
    for (const commit of [...instance.applied()].reverse()) {
      const found = commit.writes.findLast(([name]) => name === item)
      if (found !== undefined) return found[1]
    }
    return 'none'
  }

  async function read (id: string, item: string): Promise<void> {
    await sleep(group.serviceTimeMs)
    count(id)
    signed([valueOf(item)])
  }

  async function change (id: string, item: string, data: string): Promise<void> {
    if (!instance.isPrimary() || readOnly) {
      fail('READONLY')
      return
    }
    await sleep(group.serviceTimeMs)
    count(id)
    if (state === 'T') {
      writes.push([item, data])
      signed()
      return
    }
    await group.commit(instance, { id, writes: [[item, data]] })
    signed()
  }

  async function commit (id: string): Promise<void> {
    const done = writes
    writes = []
    const failed = state === 'E'
    state = 'I'
    if (failed) {
      fail('ABORTED')
      return
    }
    count(id)
    if (done.length > 0) await group.commit(instance, { id, writes: done })
    signed()
  }

  function count (id: string): void {
    instance.ran.set(id, (instance.ran.get(id) ?? 0) + 1)
  }

  /** Waits until the data has a position; false if the log lacks it. */
  async function waitFor (wanted: string): Promise<boolean> {
    const [term, number] = wanted.split('.').map(Number)
    const has = (commits: readonly { readonly term: number, readonly number: number }[]) =>
      number === 0 || commits.some((each) => each.term > term || (each.term === term && each.number >= number))
    for (let waited = 0; waited < LONGEST_WAIT_MS; waited += WAIT_STEP_MS) {
      if (has(instance.applied())) return true
      if (!has(instance.received())) return false
      await sleep(WAIT_STEP_MS)
    }
    return false
  }

  type Handler = (id: string, fields: readonly string[]) => Promise<void> | void
  const handlers: Readonly<Record<string, Handler>> = {
    async BEGIN (_id, [mode]) {
      if (mode !== 'READ' && !instance.isPrimary()) {
        fail('READONLY')
        return
      }
      readOnly = mode === 'READ'
      state = 'T'
      finish(['COMPLETE -'])
    },
    COMMIT: commit,
    ROLLBACK () {
      state = 'I'
      writes = []
      finish(['COMPLETE -'])
    },
    READ: async (id, [item]) => await read(id, item),
    WRITE: async (id, [item, data]) => await change(id, item, data),
    SET: () => finish(['COMPLETE -']),
    PREPARE (_id, [name, access, shape]) {
      prepared.set(name, { access, shape })
      finish(['COMPLETE -'])
    },
    async EXECUTE (id, [name, item, data]) {
      const known = prepared.get(name)
      if (known === undefined) fail('NOSTMT')
      else if (known.access === 'READ') await read(id, item)
      else await change(id, item, data)
    },
    DISCARD () {
      prepared.clear()
      finish(['COMPLETE -'])
    },
    STATUS () {
      const last = instance.received().at(-1)
      const role = instance.isPrimary() ? 'primary' : 'replica'
      const received = last === undefined ? `${instance.heldTerm()}.0` : `${last.term}.${last.number}`
      finish([`DATAROW ${role} ${instance.heldTerm()} ${received} 0 ${instance.lagMs()} 0 1`, 'COMPLETE -'])
    },
    STEPDOWN (_id, [term]) {
      const primary = group.primary()
      if (Number(term) > instance.heldTerm() && primary !== undefined && primary !== instance) instance.follow(primary)
      finish(['COMPLETE -'])
    },
  }

  async function run (line: string): Promise<void> {
    const [word, ...rest] = line.split(' ')
    if (word === 'STARTUP') {
      const isRight = rest[0] === group.service && (rest[2] === undefined || rest[2] === instance.id)
      started = isRight
      if (isRight) write(`READY I ${position()}\r\n`)
      else socket.end(`ERROR MISROUTED ${instance.id}\r\n`)
      return
    }
    if (word !== 'QUERY' || !started) return
    const [id, ...text] = rest
    const hasPrefix = text[0] === 'WAITLSN'
    if (hasPrefix && !(await waitFor(text[1]))) {
      fail('LAGGING')
      return
    }
    const [verb, ...fields] = hasPrefix ? text.slice(2) : text
    if (state === 'E' && verb !== 'COMMIT' && verb !== 'ROLLBACK') fail('MALFORMED')
    else await handlers[verb](id, fields)
  }

  return {
    take (line) {
      // A commit whose instance stops gets no answer, like all else on its connections.
      queue = queue.then(async () => await run(line)).catch(() => { socket.destroy() })
    },
    close () {
      writes = []
    },
  }
}
