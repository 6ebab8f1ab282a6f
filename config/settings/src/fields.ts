import * as z from 'zod'
import { type Address, parseAddress } from '@briarpick/types'
import { recordOf } from '@briarpick/schema'

const DURATION_PATTERN = /^(\d+)(ms|s|min|h)$/
const UNIT_MS: Readonly<Record<string, number>> = { ms: 1, s: 1000, min: 60_000, h: 3_600_000 }
const SIZE_PATTERN = /^(\d+)(B|KiB|MiB)$/
const UNIT_BYTES: Readonly<Record<string, number>> = { B: 1, KiB: 1024, MiB: 1024 * 1024 }

/** A duration such as "500ms", "2s" or "5min"; parsed to ms. */
export const duration = z.string().regex(DURATION_PATTERN, 'must be a duration with its unit, such as "500ms" or "2s"').transform(parseDuration)

/** A size such as "64KiB"; parsed to bytes. */
export const size = z.string().regex(SIZE_PATTERN, 'must be a size with its unit, such as "64KiB"').transform(parseSize)

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
