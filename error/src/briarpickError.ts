/** The SQLSTATE of each code, and whether the code guarantees that the request was not executed (`refusal`). */
const CODES = {
  ERR_BRIARPICK_SETTINGS: { sqlState: 'F0000', refusal: true },
  ERR_BRIARPICK_USAGE: { sqlState: '42601', refusal: true },
  ERR_BRIARPICK_BUNDLE: { sqlState: 'F0000', refusal: true },
  ERR_BRIARPICK_LOG_DAMAGED: { sqlState: '58030', refusal: true },
  ERR_BRIARPICK_DISK: { sqlState: '58030', refusal: true },
  ERR_BRIARPICK_NOT_LEADER: { sqlState: '57P03', refusal: true },
  ERR_BRIARPICK_RPC: { sqlState: '08006', refusal: false },
  ERR_BRIARPICK_RPC_TIMEOUT: { sqlState: '08006', refusal: false },
  ERR_BRIARPICK_NO_LEASE: { sqlState: '57P03', refusal: true },
  ERR_BRIARPICK_UNKNOWN_DATABASE: { sqlState: '3D000', refusal: true },
  ERR_BRIARPICK_NO_HOME: { sqlState: '57P03', refusal: true },
  ERR_BRIARPICK_NO_PRIMARY: { sqlState: '57P03', refusal: true },
  ERR_BRIARPICK_NOT_DURABLE: { sqlState: '57P03', refusal: true },
  ERR_BRIARPICK_OVERLOADED: { sqlState: '53000', refusal: true },
  ERR_BRIARPICK_TARGET_UNREACHABLE: { sqlState: '08001', refusal: true },
  ERR_BRIARPICK_TOO_STALE: { sqlState: '57P03', refusal: true },
  ERR_BRIARPICK_DRAINING: { sqlState: '57P01', refusal: true },
  ERR_BRIARPICK_UNSUPPORTED: { sqlState: '0A000', refusal: true },
  ERR_BRIARPICK_SYNTAX: { sqlState: '42601', refusal: true },
  ERR_BRIARPICK_PROTOCOL: { sqlState: '08P01', refusal: true },
  ERR_BRIARPICK_KEY_REUSED: { sqlState: '23505', refusal: true },
  ERR_BRIARPICK_DEADLINE: { sqlState: '57014', refusal: false },
  ERR_BRIARPICK_TRANSACTION_LOST: { sqlState: '40000', refusal: true },
  ERR_BRIARPICK_OUTCOME_UNKNOWN: { sqlState: '08007', refusal: false },
} as const

/** Code of a `BriarpickError`. */
export type ErrorCode = keyof typeof CODES

/** Details of a `BriarpickError` beyond its code and message. */
export interface BriarpickErrorOptions {
  /** The remedy, in the imperative. */
  readonly hint: string
  /** Delay after which to retry, in ms; for errors whose cause is expected to pass. */
  readonly retryAfterMs?: number
  readonly cause?: unknown
}

/** The error class of all packages: a code, a message and a hint that names the remedy. */
export class BriarpickError extends Error {
  readonly code: ErrorCode
  readonly hint: string
  readonly retryAfterMs: number | undefined

  constructor (code: ErrorCode, message: string, opts: BriarpickErrorOptions) {
    super(message, { cause: opts.cause })
    this.name = 'BriarpickError'
    this.code = code
    this.hint = opts.hint
    this.retryAfterMs = opts.retryAfterMs
  }

  /** SQLSTATE reported to the caller. */
  get sqlState (): string {
    return CODES[this.code].sqlState
  }

  /** True if the request was certainly not executed. */
  get isRefusal (): boolean {
    return CODES[this.code].refusal
  }
}

/** Serialized form of a `BriarpickError`, sent between processes. */
export interface ErrorData {
  readonly code: ErrorCode
  readonly message: string
  readonly hint: string
  readonly retryAfterMs?: number
}

/** Serializes an error. Errors of other classes become `ERR_BRIARPICK_RPC`, which leaves open whether the request was executed. */
export function toErrorData (err: unknown): ErrorData {
  if (err instanceof BriarpickError) {
    return { code: err.code, message: err.message, hint: err.hint, retryAfterMs: err.retryAfterMs }
  }
  const message = err instanceof Error ? err.message : String(err)
  return { code: 'ERR_BRIARPICK_RPC', message, hint: 'see the log of the process that handled the request' }
}

/** Deserializes an error. An unknown code becomes `ERR_BRIARPICK_RPC`, which leaves open whether the request was executed. */
export function fromErrorData (data: ErrorData): BriarpickError {
  const code = Object.hasOwn(CODES, data.code) ? data.code : 'ERR_BRIARPICK_RPC'
  return new BriarpickError(code, data.message, { hint: data.hint, retryAfterMs: data.retryAfterMs })
}
