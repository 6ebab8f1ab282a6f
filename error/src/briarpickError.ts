/** What each code means to a caller: the SQLSTATE, and whether the request surely did not run. */
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

/** The codes of all errors. */
export type ErrorCode = keyof typeof CODES

/** Options of an error. */
export interface BriarpickErrorOptions {
  /** What to do about it. */
  readonly hint: string
  /** When to come back, in ms; for refusals that pass by themselves. */
  readonly retryAfterMs?: number
  readonly cause?: unknown
}

/** The one error class. */
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

  /** SQLSTATE that a caller sees. */
  get sqlState (): string {
    return CODES[this.code].sqlState
  }

  /** True if the request surely did not run. */
  get isRefusal (): boolean {
    return CODES[this.code].refusal
  }
}

/** An error as it travels between processes. */
export interface ErrorData {
  readonly code: ErrorCode
  readonly message: string
  readonly hint: string
  readonly retryAfterMs?: number
}

/** The plain data of an error. Unknown errors count as a lost connection. */
export function toErrorData (err: unknown): ErrorData {
  if (err instanceof BriarpickError) {
    return { code: err.code, message: err.message, hint: err.hint, retryAfterMs: err.retryAfterMs }
  }
  const message = err instanceof Error ? err.message : String(err)
  return { code: 'ERR_BRIARPICK_RPC', message, hint: 'see the log of the process that answered' }
}

/** The error of plain data; an unknown code counts as a lost connection. */
export function fromErrorData (data: ErrorData): BriarpickError {
  const code = data.code in CODES ? data.code : 'ERR_BRIARPICK_RPC'
  return new BriarpickError(code, data.message, { hint: data.hint, retryAfterMs: data.retryAfterMs })
}
