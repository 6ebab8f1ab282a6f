import * as z from 'zod'
import { type Address, MAX_TIMER_MS, parseAddress } from '@briarpick/types'
import { recordOf } from '@briarpick/schema'

const DURATION_PATTERN = /^(\d+)(ms|s|min|h)$/
const UNIT_MS: Readonly<Record<string, number>> = { ms: 1, s: 1000, min: 60_000, h: 3_600_000 }
const SIZE_PATTERN = /^(\d+)(B|KiB|MiB)$/
/** Largest size, in bytes: more than the memory that any process of a deployment has. */
const MAX_SIZE_BYTES = 2 ** 30
const UNIT_BYTES: Readonly<Record<string, number>> = { B: 1, KiB: 1024, MiB: 1024 * 1024 }

const durationText = z.string().regex(DURATION_PATTERN, 'must be a duration with its unit, such as "500ms" or "2s"')

/** A duration such as "500ms", "2s" or "5min"; parsed to ms. */
export const duration = durationText.transform(parseDuration).refine((ms) => ms <= MAX_TIMER_MS, `must be at most ${MAX_TIMER_MS}ms`)

/** A duration as before, cut to the longest one that is allowed. */
export const cutDuration = durationText.transform((text) => Math.min(parseDuration(text), MAX_TIMER_MS))

/** A size such as "64KiB"; parsed to bytes. */
export const size = z.string().regex(SIZE_PATTERN, 'must be a size with its unit, such as "64KiB"')
  .transform(parseSize).refine((bytes) => bytes <= MAX_SIZE_BYTES, `must be at most ${MAX_SIZE_BYTES}B`)

/** An address such as "10.0.0.5:7400"; the host must be an IP address. */
export const address = z.string().transform((text, context): Address => {
  const parsed = parseAddress(text)
  if (parsed !== undefined) return parsed
  context.addIssue({ code: 'custom', message: 'must be an IP address and a port, such as "10.0.0.5:7400"' })
  return z.NEVER
})

/** A name of letters, digits, dots, dashes and underscores. */
export const name = z.string().regex(/^[\w.-]+$/, 'must consist of letters, digits, dots, dashes and underscores')

/** Trusted signers of bundles by name, each with an Ed25519 public key in base64 (SPKI). */
export const signers = recordOf(z.string(), z.string())

function parseDuration (text: string): number {
  const [, count, unit] = DURATION_PATTERN.exec(text) ?? []
  return Number(count) * UNIT_MS[unit]
}

function parseSize (text: string): number {
  const [, count, unit] = SIZE_PATTERN.exec(text) ?? []
  return Number(count) * UNIT_BYTES[unit]
}
