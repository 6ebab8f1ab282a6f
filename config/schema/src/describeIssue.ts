import type * as z from 'zod'

/** Longest description of an issue, in characters: names of a document's entries may be of any length. */
export const MAX_DESCRIPTION_CHARACTERS = 300

/** Describes the first issue of a document as `PATH: MESSAGE`, in a bounded length. */
export function describeIssue ({ issues: [issue] }: z.ZodError): string {
  return shortenText(`${issue.path.map(String).join('.')}: ${issue.message}`)
}

/** Cuts a text that quotes a document to the length of a description, and says so. */
export function shortenText (text: string): string {
  return text.length <= MAX_DESCRIPTION_CHARACTERS ? text : `${text.slice(0, MAX_DESCRIPTION_CHARACTERS)}… (${text.length} characters)`
}
