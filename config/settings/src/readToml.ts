import fs from 'node:fs'
import { parse } from 'smol-toml'
import { Result } from 'true-myth'
import * as z from 'zod'
import { BriarpickError } from '@briarpick/error'

/** Parses and validates a TOML text. Fails with `ERR_BRIARPICK_SETTINGS`; the error names the file, the key and the remedy. */
export function checkToml<S extends z.ZodType> (text: string, schema: S, file: string): Result<z.infer<S>, BriarpickError> {
  let raw
  try {
    raw = parse(text)
  } catch (err) {
    const reason = err instanceof Error ? err.message.split('\n')[0] : String(err)
    return Result.err(settingsError(`${file}: ${reason}`, 'correct the TOML at that line', err))
  }
  const checked = schema.safeParse(raw)
  if (checked.success) return Result.ok(checked.data)
  const [issue] = checked.error.issues
  return Result.err(settingsError(`${file}: ${describeIssue(issue)}`, remedyFor(issue)))
}

/** Reads, parses and validates a TOML file. Fails with `ERR_BRIARPICK_SETTINGS`. */
export function readTomlFile<S extends z.ZodType> (file: string, schema: S): Result<z.infer<S>, BriarpickError> {
  let text
  try {
    text = fs.readFileSync(file, 'utf8')
  } catch (err) {
    return Result.err(settingsError(`${file}: cannot be read`, 'check the path and the permissions of the file', err))
  }
  return checkToml(text, schema, file)
}

function settingsError (message: string, hint: string, cause?: unknown): BriarpickError {
  return new BriarpickError('ERR_BRIARPICK_SETTINGS', message, { hint, cause })
}

function describeIssue (issue: z.core.$ZodIssue): string {
  const path = issue.path.join('.')
  if (issue.code === 'unrecognized_keys') return `unknown key ${[...issue.path, issue.keys[0]].join('.')}`
  return `key ${path}: ${issue.message}`
}

function remedyFor (issue: z.core.$ZodIssue): string {
  if (issue.code === 'unrecognized_keys') return 'remove the key or correct its spelling; docs/operators.md lists all keys'
  return `correct the value of ${issue.path.join('.')}; docs/operators.md lists its format and unit`
}
