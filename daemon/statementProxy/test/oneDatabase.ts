import { setTimeout as sleep } from 'node:timers/promises'
import { type TargetDriver, type TargetResponse } from '@briarpick/statement-home'
import { type DatabaseView, type StatementRequest } from '@briarpick/types'

/** Address of the target and of proxies. */
export const ADDRESS = { host: '127.0.0.1', port: 1 }
/** View of one database with a primary, and its home at proxy `p1`. */
export const VIEW: DatabaseView = {
  service: 's',
  database: 'd',
  term: 1,
  state: 'open',
  primary: 'i1',
  inSync: ['i1'],
  members: [{ instance: 'i1', dataCentre: 'dc', address: ADDRESS, state: 'serving', slots: 2 }],
  home: { proxy: 'p1', address: ADDRESS, epoch: 1 },
  homeEpoch: 1,
  changedAt: 1,
}
/** A write outside a transaction. */
export const WRITE: StatementRequest = {
  database: 'd',
  id: '1',
  team: null,
  transaction: null,
  begins: null,
  beginId: null,
  action: { kind: 'query', access: 'write', text: 'WRITE a b' },
  values: [],
  freshness: { current: true, maxAgeMs: 0, seen: null },
  priority: 1,
  aimMs: 1000,
  ageMs: 0,
  deadlineMs: 3000,
}

/** Driver of a primary that answers a statement after a time, in ms. */
export function createDriver (statementMs: number): TargetDriver {
  const position = { term: 1, offset: 1 }
  return {
    async connect () {
      const listeners: Array<() => void> = []
      let isOpen = true
      const closed = new Promise<never>((_resolve, reject) => listeners.push(() => reject(new Error('closed'))))
      closed.catch(() => {})
      const answer: TargetResponse = { rows: [], signature: 'i1', error: null, state: 'idle', position }
      return {
        kind: 'open',
        link: {
          run: async (command) => await Promise.race([closed, command.kind === 'statement' ? sleep(statementMs, answer) : Promise.resolve(answer)]),
          isOpen: () => isOpen,
          onClose: (listener) => { listeners.push(listener) },
          close () {
            isOpen = false
            for (const listener of listeners) listener()
          },
        },
      }
    },
    readStatus: () => ({ role: 'primary', term: 1, received: position, lagMs: 0 }),
  }
}
