/** Key of a target in a map. No two targets have the same one, whatever characters their names contain. */
export function targetKey (database: string, instance: string): string {
  return JSON.stringify([database, instance])
}
