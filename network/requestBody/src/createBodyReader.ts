import { type IncomingMessage } from 'node:http'

/** Options of a body reader. */
export interface BodyReaderOptions {
  /** Bytes of all bodies that are held at one time; a body beyond `smallBytes` is refused while more are held. */
  readonly maxHeldBytes: number
  /** Length up to which a body is read whatever else is held, in bytes. */
  readonly smallBytes: number
}

/** A body, or why it was not read: it is longer than its limit, or too many bytes are held for other requests. */
export type BodyResult =
  | { readonly kind: 'read', readonly body: Buffer }
  | { readonly kind: 'tooLong' | 'tooManyHeld' }

/** Reads the bodies of HTTP requests within a limit of memory for all of them. */
export interface BodyReader {
  /** Reads a body of at most `maxBytes`, and holds it until `use` has settled; resolves with what `use` resolves with. */
  withBody: <R>(req: IncomingMessage, maxBytes: number, use: (result: BodyResult) => Promise<R>) => Promise<R>
  /** Bytes of the bodies that are held. */
  heldBytes: () => number
}

/** Creates a reader that holds nothing. */
export function createBodyReader ({ maxHeldBytes, smallBytes }: BodyReaderOptions): BodyReader {
  let heldBytes = 0
  return {
    async withBody (req, maxBytes, use) {
      let parts: Buffer[] = []
      let length = 0
      let refused = false

      function release (): void {
        heldBytes -= length
        length = 0
        parts = []
      }

      function refuse (kind: Exclude<BodyResult['kind'], 'read'>): BodyResult {
        refused = true
        release()
        return { kind }
      }

      /** Adds a part; returns a result once the body is refused. */
      function add (part: Buffer): BodyResult | undefined {
        length += part.length
        heldBytes += part.length
        parts.push(part)
        if (length > maxBytes) return refuse('tooLong')
        return length > smallBytes && heldBytes > maxHeldBytes ? refuse('tooManyHeld') : undefined
      }

      const read = new Promise<BodyResult>((resolve, reject) => {
        req.on('data', (part: Buffer) => {
          // The rest of a refused body is read and dropped: a connection that is closed with unread bytes is reset, and the answer lost.
          const result = refused ? undefined : add(part)
          if (result !== undefined) resolve(result)
        })
        req.once('end', () => resolve({ kind: 'read', body: Buffer.concat(parts) }))
        req.once('error', reject)
        req.once('close', () => reject(new Error('the request was aborted')))
      })
      try {
        return await use(await read)
      } finally {
        release()
      }
    },
    heldBytes: () => heldBytes,
  }
}
