import fs from 'node:fs'
import path from 'node:path'
import * as z from 'zod'
import { parseJson } from '@briarpick/schema'

/** File that the launcher writes into the data folder at the first start of the whole system. */
const FILE_NAME = 'first-start.json'
const markSchema = z.array(z.string().min(1)).min(1)

/**
 * Returns the names of the seeds if a process of this machine began the first start and was killed before it left a founding file;
 * undefined otherwise, and for a file whose writing was not finished.
 */
export function readFirstStartMark (dataFolder: string): readonly string[] | undefined {
  const file = path.join(dataFolder, FILE_NAME)
  if (!fs.existsSync(file)) return undefined
  return parseJson(fs.readFileSync(file, 'utf8')).map((raw) => markSchema.safeParse(raw).data).unwrapOr(undefined)
}

/** Removes the mark. It must not outlive the start: a node whose folder is moved away later must not take part as if it had never voted. */
export function removeFirstStartMark (dataFolder: string): void {
  fs.rmSync(path.join(dataFolder, FILE_NAME), { force: true })
}
