/** Type bytes of frontend messages, which callers send. */
export const FrontendCode = {
  query: 0x51,
  parse: 0x50,
  bind: 0x42,
  execute: 0x45,
  describe: 0x44,
  close: 0x43,
  sync: 0x53,
  flush: 0x48,
  terminate: 0x58,
  functionCall: 0x46,
  copyData: 0x64,
  copyDone: 0x63,
  copyFail: 0x66,
} as const

/** Type bytes of backend messages, which targets send. */
export const BackendCode = {
  parseComplete: 0x31,
  bindComplete: 0x32,
  closeComplete: 0x33,
  commandComplete: 0x43,
  dataRow: 0x44,
  error: 0x45,
  copyIn: 0x47,
  copyOut: 0x48,
  emptyQuery: 0x49,
  backendKeyData: 0x4b,
  notice: 0x4e,
  notification: 0x41,
  parameterStatus: 0x53,
  rowDescription: 0x54,
  readyForQuery: 0x5a,
  noData: 0x6e,
  portalSuspended: 0x73,
  parameterDescription: 0x74,
  copyBoth: 0x57,
} as const

/** Transaction status of a ReadyForQuery message: idle, in a transaction, in a failed transaction. */
export type TransactionStatus = 'I' | 'T' | 'E'
