/** Name of the table that holds idempotency keys, in the caller's database. */
export const KEY_TABLE = 'briarpick_keys'

/** Longest answer that is kept with a key, in bytes; a longer one is kept without its rows. */
export const MAX_KEPT_ANSWER_BYTES = 64 * 1024

function quote (text: string): string {
  return `'${text.replaceAll("'", "''")}'`
}

/** Statements about idempotency keys. They run in the transaction of the write that the key stands for. */
export const keyStatements = {
  createTable: `CREATE TABLE IF NOT EXISTS ${KEY_TABLE} (key text PRIMARY KEY, digest text, answer text)`,
  claim: (key: string, digest: string) =>
    `BEGIN; INSERT INTO ${KEY_TABLE} (key, digest, answer) VALUES (${quote(key)}, ${quote(digest)}, '') ON CONFLICT DO NOTHING`,
  finish: (key: string, answer: string) =>
    `UPDATE ${KEY_TABLE} SET answer = ${quote(answer)} WHERE key = ${quote(key)}; COMMIT`,
  rollback: 'ROLLBACK',
  lookUp: (key: string) => `SELECT digest, answer FROM ${KEY_TABLE} WHERE key = ${quote(key)}`,
} as const
