import { type Result } from 'true-myth'
import * as z from 'zod'
import { type BriarpickError } from '@briarpick/error'
import { checkToml, duration, name } from '@briarpick/settings'

const serviceSchema = z.strictObject({
  /** Statements at work on one target at the same time. */
  slots: z.int().min(1).default(2),
  /** Connections that one target accepts from briarpick, over all proxies. */
  connections: z.int().min(4).default(16),
  /** Replicas that must hold a write before it is acknowledged. */
  in_sync_replicas: z.int().min(0).default(1),
  /** How long a read waits for a replica to catch up before it goes to the primary. */
  replica_wait: duration.prefault('100ms'),
  /** Time that a request may take if it states none. */
  request_timeout: duration.prefault('5s'),
  /** Most requests that wait for a target of one database. */
  queue: z.int().min(1).default(256),
  /** Part of the requests that may be sent again, from 0 to 1. */
  retry_ratio: z.number().min(0).max(1).default(0.1),
})

const failoverSchema = z.strictObject({
  lease: duration.prefault('2s'),
  /** A primary that refuses connections for this long is taken for lost. */
  refused_after: duration.prefault('150ms'),
  /** A primary that answers nothing for this long is taken for lost. */
  silent_after: duration.prefault('1s'),
  /** Proxies in other data centres whose view is asked for before a promotion. */
  witnesses: z.int().min(0).max(5).default(2),
  /** How long control waits for the witnesses. */
  witness_timeout: duration.prefault('700ms'),
})

/** What a bundle's text holds. */
export const bundleSchema = z.strictObject({
  version: z.int().min(1),
  services: z.record(name, serviceSchema).default({}),
  failover: failoverSchema.prefault({}),
})

/** Checked settings of a bundle. */
export type BundleSettings = z.infer<typeof bundleSchema>

/** Checked settings of one service. */
export type ServicePolicy = z.infer<typeof serviceSchema>

/** Checked settings of failover; durations in ms. */
export type FailoverPolicy = z.infer<typeof failoverSchema>

/** The policy of a service that no bundle names. */
export const DEFAULT_SERVICE_POLICY: ServicePolicy = serviceSchema.parse({})

/** The settings before any bundle was accepted. */
export const DEFAULT_BUNDLE: BundleSettings = { version: 0, services: {}, failover: failoverSchema.parse({}) }

/** Checks a bundle's text. */
export function checkBundleText (text: string, file = 'bundle'): Result<BundleSettings, BriarpickError> {
  return checkToml(text, bundleSchema, file)
}

/** The policy of a service. */
export function policyOf (settings: BundleSettings, service: string): ServicePolicy {
  return settings.services[service] ?? DEFAULT_SERVICE_POLICY
}
