import * as z from 'zod'

/**
 * Schema of a list. It ends at the first item that is not valid, so that an invalid list takes no more time or memory than a valid one:
 * `z.array` collects the issues of all items.
 */
export function listOf<S extends z.ZodType> (item: S) {
  return z.custom<readonly unknown[]>(Array.isArray, 'must be a list').transform((list, context): Array<z.output<S>> => {
    const items: Array<z.output<S>> = []
    for (const [i, raw] of list.entries()) {
      const checked = item.safeParse(raw)
      if (!checked.success) return addFirstIssue(context, i, checked.error)
      items.push(checked.data)
    }
    return items
  })
}

/** Schema of an object with keys and values of one kind each; ends at the first entry that is not valid, as `listOf` does. */
export function recordOf<S extends z.ZodType> (key: z.ZodType<string>, value: S) {
  return z.custom<Readonly<Record<string, unknown>>>(isPlainObject, 'must be an object').transform((record, context): Record<string, z.output<S>> => {
    const entries: Array<[string, z.output<S>]> = []
    for (const [name, raw] of Object.entries(record)) {
      const checkedKey = key.safeParse(name)
      if (!checkedKey.success) return addFirstIssue(context, name, checkedKey.error)
      const checked = value.safeParse(raw)
      if (!checked.success) return addFirstIssue(context, name, checked.error)
      entries.push([name, checked.data])
    }
    return Object.fromEntries(entries)
  })
}

/** Reports the first issue of an item under the item's key. */
function addFirstIssue (context: z.RefinementCtx, key: string | number, { issues: [issue] }: z.ZodError): never {
  context.issues.push({ ...issue, path: [key, ...issue.path], input: undefined, continue: false })
  return z.NEVER
}

function isPlainObject (raw: unknown): boolean {
  return typeof raw === 'object' && raw !== null && !Array.isArray(raw)
}
