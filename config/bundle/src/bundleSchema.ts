import { type Result } from 'true-myth'
import * as z from 'zod'
import { type BriarpickError } from '@briarpick/error'
import { countFrom, MAX_COUNT, recordOf } from '@briarpick/schema'
import { checkToml, cutDuration, duration, name } from '@briarpick/settings'

/** Schemas of the numbers in a bundle. */
interface NumberSchemas {
  readonly duration: typeof duration
  /** A number of things, of which there are at least `min`. */
  readonly countFrom: (min: number) => z.ZodType<number>
}

function serviceSchemaOf ({ duration, countFrom }: NumberSchemas) {
  return z.strictObject({
    /** Statements executed concurrently on one target. */
    slots: countFrom(1).default(2),
    /** Maximum connections to one target, over all proxies. */
    connections: countFrom(4).default(16),
    /** Number of replicas that must hold a write before it is acknowledged. */
    in_sync_replicas: countFrom(0).default(1),
    /** Time for which a read waits for a replica to catch up before it is sent to the primary. */
    replica_wait: duration.prefault('100ms'),
    /** Timeout of a request that sets none. */
    request_timeout: duration.prefault('5s'),
    /** Maximum number of requests queued per database. */
    queue: countFrom(1).default(256),
    /** Ratio of retries to requests allowed by the retry budget, from 0 to 1. */
    retry_ratio: z.number().min(0).max(1).default(0.1),
  })
}

function failoverSchemaOf ({ duration }: NumberSchemas) {
  return z.strictObject({
    lease: duration.prefault('2s'),
    /** A primary that refuses connections for this long is considered failed. */
    refused_after: duration.prefault('150ms'),
    /** A primary that does not respond for this long is considered failed. */
    silent_after: duration.prefault('1s'),
    /** Number of proxies in other data centres that probe the primary before a promotion. */
    witnesses: z.int().min(0).max(5).default(2),
    /** Time for which control waits for the witnesses' reports. */
    witness_timeout: duration.prefault('700ms'),
  })
}

function bundleSchemaOf (numbers: NumberSchemas) {
  return z.strictObject({
    version: z.int().min(1),
    services: recordOf(name, serviceSchemaOf(numbers)).default({}),
    failover: failoverSchemaOf(numbers).prefault({}),
  })
}

/** Schema of the text of a new bundle. */
export const bundleSchema = bundleSchemaOf({ duration, countFrom })

/** Schema of a bundle in force: earlier versions accepted any duration and count, and larger ones than allowed now are cut. */
const acceptedBundleSchema = bundleSchemaOf({
  duration: cutDuration,
  countFrom: (min) => z.int().min(min).transform((count) => Math.min(count, MAX_COUNT)),
})

/** Validated settings of a bundle; durations in ms. */
export type BundleSettings = z.infer<typeof bundleSchema>

/** Validated settings of one service; durations in ms. */
export type ServicePolicy = BundleSettings['services'][string]

/** Validated failover settings; durations in ms. */
export type FailoverPolicy = BundleSettings['failover']

/** Policy of a service that the bundle does not name. */
export const DEFAULT_SERVICE_POLICY: ServicePolicy = serviceSchemaOf({ duration, countFrom }).parse({})

/** Settings in force until a bundle is accepted. */
export const DEFAULT_BUNDLE: BundleSettings = { version: 0, services: {}, failover: failoverSchemaOf({ duration, countFrom }).parse({}) }

/** Parses and validates the text of a new bundle; `file` is the file name in errors. Fails with `ERR_BRIARPICK_SETTINGS`. */
export function checkBundleText (text: string, file = 'bundle'): Result<BundleSettings, BriarpickError> {
  return checkToml(text, bundleSchema, file)
}

/** Parses the text of a bundle that control has accepted. Fails with `ERR_BRIARPICK_SETTINGS`. */
export function readAcceptedBundleText (text: string): Result<BundleSettings, BriarpickError> {
  return checkToml(text, acceptedBundleSchema, 'bundle')
}

/** Returns the policy of a service, or the default if the bundle does not name it. */
export function policyOf (settings: BundleSettings, service: string): ServicePolicy {
  return Object.hasOwn(settings.services, service) ? settings.services[service] : DEFAULT_SERVICE_POLICY
}
