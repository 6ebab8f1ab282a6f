import { type Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { type StandInGroup } from './createStandInGroup.js'
import { type StandInInstance } from './createStandInInstance.js'

/** Server side of one connection. */
export interface WireConnection {
  handleLine: (line: string) => void
  close: () => void
}

/** Poll interval and timeout of the wait for a position (WAITLSN). */
const POSITION_POLL_MS = 2
const POSITION_TIMEOUT_MS = 500

interface Prepared {
  readonly access: string
  readonly shape: string
}

/** Serves one connection, one statement after the other. */
export function serveWire (instance: StandInInstance, group: StandInGroup, socket: Socket): WireConnection {
  const prepared = new Map<string, Prepared>()
  let started = false
  let peer = ''
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

  function writeReply (lines: readonly string[]): void {
    write([...lines, `READY ${state} ${position()}`].map((line) => `${line}\r\n`).join(''))
  }

  function writeError (code: string): void {
    if (state === 'T') state = 'E'
    writeReply([`ERROR ${code} ${instance.id}`])
  }

  function writeComplete (rows: readonly string[] = []): void {
    writeReply([...rows.map((row) => `DATAROW ${row}`), `COMPLETE ${instance.id}.${position()}`])
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

  async function runRead (id: string, item: string): Promise<void> {
    await sleep(group.serviceTimeMs)
    countRun(id)
    writeComplete([valueOf(item)])
  }

  async function runWrite (id: string, item: string, data: string): Promise<void> {
    if (!instance.isPrimary() || readOnly) {
      writeError('READONLY')
      return
    }
    await sleep(group.serviceTimeMs)
    countRun(id)
    if (state === 'T') {
      writes.push([item, data])
      writeComplete()
      return
    }
    await group.commit(instance, { id, writes: [[item, data]] })
    writeComplete()
  }

  async function runCommit (id: string): Promise<void> {
    const committed = writes
    writes = []
    const failed = state === 'E'
    state = 'I'
    if (failed) {
      writeError('ABORTED')
      return
    }
    countRun(id)
    if (committed.length > 0) await group.commit(instance, { id, writes: committed })
    writeComplete()
  }

  function countRun (id: string): void {
    instance.ran.set(id, (instance.ran.get(id) ?? 0) + 1)
    instance.ranFor.set(id, peer)
  }

  /** Waits until the applied commits reach a position. Returns false on a timeout, or immediately if the log lacks the position. */
  async function waitForPosition (wanted: string): Promise<boolean> {
    const [term, number] = wanted.split('.').map(Number)
    const reaches = (commits: readonly { readonly term: number, readonly number: number }[]) =>
      number === 0 || commits.some((commit) => commit.term > term || (commit.term === term && commit.number >= number))
    for (let waited = 0; waited < POSITION_TIMEOUT_MS; waited += POSITION_POLL_MS) {
      if (reaches(instance.applied())) return true
      if (!reaches(instance.received())) return false
      await sleep(POSITION_POLL_MS)
    }
    return false
  }

  type Handler = (id: string, fields: readonly string[]) => Promise<void> | void
  const handlers: Readonly<Record<string, Handler>> = {
    async BEGIN (_id, [mode]) {
      if (mode !== 'READ' && !instance.isPrimary()) {
        writeError('READONLY')
        return
      }
      readOnly = mode === 'READ'
      state = 'T'
      writeReply(['COMPLETE -'])
    },
    COMMIT: runCommit,
    ROLLBACK () {
      state = 'I'
      writes = []
      writeReply(['COMPLETE -'])
    },
    READ: async (id, [item]) => await runRead(id, item),
    WRITE: async (id, [item, data]) => await runWrite(id, item, data),
    SET: () => writeReply(['COMPLETE -']),
    PREPARE (_id, [name, access, shape]) {
      prepared.set(name, { access, shape })
      writeReply(['COMPLETE -'])
    },
    async EXECUTE (id, [name, item, data]) {
      const statement = prepared.get(name)
      if (statement === undefined) writeError('NOSTMT')
      else if (statement.access === 'READ') await runRead(id, item)
      else await runWrite(id, item, data)
    },
    DISCARD () {
      prepared.clear()
      writeReply(['COMPLETE -'])
    },
    STATUS () {
      const last = instance.received().at(-1)
      const role = instance.isPrimary() ? 'primary' : 'replica'
      const received = last === undefined ? `${instance.heldTerm()}.0` : `${last.term}.${last.number}`
      writeReply([`DATAROW ${role} ${instance.heldTerm()} ${received} 0 ${instance.lagMs()} 0 1`, 'COMPLETE -'])
    },
    STEPDOWN (_id, [term]) {
      const primary = group.primary()
      if (Number(term) > instance.heldTerm() && primary !== undefined && primary !== instance) instance.follow(primary)
      writeReply(['COMPLETE -'])
    },
  }

  async function handleMessage (line: string): Promise<void> {
    const [messageType, ...rest] = line.split(' ')
    if (messageType === 'STARTUP') {
      const isRouted = rest[0] === group.service && (rest[2] === undefined || rest[2] === instance.id)
      started = isRouted
      peer = rest[1] ?? ''
      if (isRouted) write(`READY I ${position()}\r\n`)
      else socket.end(`ERROR MISROUTED ${instance.id}\r\n`)
      return
    }
    if (messageType !== 'QUERY' || !started) return
    const [id, ...text] = rest
    const hasWaitPrefix = text[0] === 'WAITLSN'
    if (hasWaitPrefix && !(await waitForPosition(text[1]))) {
      writeError('LAGGING')
      return
    }
    const [verb, ...fields] = hasWaitPrefix ? text.slice(2) : text
    if (state === 'E' && verb !== 'COMMIT' && verb !== 'ROLLBACK') writeError('MALFORMED')
    else await handlers[verb](id, fields)
  }

  return {
    handleLine (line) {
      // If the instance stops during a commit, the caller gets no reply, as for any other statement on its connections.
      queue = queue.then(async () => await handleMessage(line)).catch(() => { socket.destroy() })
    },
    close () {
      writes = []
    },
  }
}
