import { type IncomingMessage } from 'node:http'
import { type ReceiveBudget, type ReceptionEnd } from '@briarpick/receive-budget'

/** A body, or why it was not read: it is longer than its limit, or the budget ended it. */
export type BodyResult =
  | { readonly kind: 'read', readonly body: Buffer }
  | { readonly kind: 'tooLong' | ReceptionEnd }

/** Reads the bodies of HTTP requests within a budget for all of them. */
export interface BodyReader {
  /** Reads a body of at most `maxBytes`, and holds it until `use` has settled; resolves with what `use` resolves with. */
  withBody: <R>(req: IncomingMessage, maxBytes: number, use: (result: BodyResult) => Promise<R>) => Promise<R>
}

/** Creates a reader whose bodies count to `budget`. */
export function createBodyReader (budget: ReceiveBudget): BodyReader {
  return {
    async withBody (req, maxBytes, use) {
      let parts: Buffer[] = []
      let length = 0
      let isRefused = false
      let onEnd: (reason: ReceptionEnd) => void = () => {}
      const reception = budget.open((reason) => onEnd(reason))

      const read = new Promise<BodyResult>((resolve, reject) => {
        function refuse (kind: 'tooLong' | ReceptionEnd): void {
          isRefused = true
          parts = []
          reception.release()
          resolve({ kind })
        }

        onEnd = refuse
        req.on('data', (part: Buffer) => {
          // The rest of a refused body is read and dropped: a connection that is closed with unread bytes is reset, and the answer lost.
          if (isRefused) return
          length += part.length
          parts.push(part)
          if (length > maxBytes) refuse('tooLong')
          else reception.add(part.length)
        })
        req.once('end', () => {
          reception.complete()
          if (!isRefused) resolve({ kind: 'read', body: Buffer.concat(parts) })
        })
        req.once('error', reject)
        req.once('close', () => reject(new Error('the request was aborted')))
      })
      try {
        return await use(await read)
      } finally {
        reception.release()
        parts = []
      }
    },
  }
}
