/** Name of the table of idempotency keys, in the caller's database. */
export const KEY_TABLE = 'briarpick_keys'

/** Maximum size of a response stored with its key, in bytes; a larger one is stored without its rows. */
export const MAX_STORED_RESPONSE_BYTES = 64 * 1024

/** Quotes a text as a string constant, which has escapes only if it says so: targets differ in what a backslash is without. */
function quote (text: string): string {
  const quoted = `'${text.replaceAll('\\', '\\\\').replaceAll("'", "''")}'`
  return text.includes('\\') ? `E${quoted}` : quoted
}

/**
 * Statements on idempotency keys. `claim` and `storeAndCommit` enclose the write in one transaction, so that key and
 * write commit together.
 */
export const keyStatements = {
  createTable: `CREATE TABLE IF NOT EXISTS ${KEY_TABLE} (key text PRIMARY KEY, digest text, answer text)`,
  claim: (key: string, digest: string) =>
    `BEGIN; INSERT INTO ${KEY_TABLE} (key, digest, answer) VALUES (${quote(key)}, ${quote(digest)}, '') ON CONFLICT DO NOTHING`,
  storeAndCommit: (key: string, answer: string) =>
    `UPDATE ${KEY_TABLE} SET answer = ${quote(answer)} WHERE key = ${quote(key)}; COMMIT`,
  rollback: 'ROLLBACK',
  lookUp: (key: string) => `SELECT digest, answer FROM ${KEY_TABLE} WHERE key = ${quote(key)}`,
} as const
