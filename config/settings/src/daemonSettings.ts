import * as z from 'zod'
import { countFrom, listOf, recordOf } from '@briarpick/schema'
import { address, duration, name, signers, size } from './fields.js'

/** Schema of a control daemon's settings file. */
export const controlSchema = z.strictObject({
  name,
  data_centre: name,
  /** Folder of the daemon's persistent state; the daemon writes nowhere else. */
  data_folder: z.string().min(1),
  listen: address,
  /** Addresses of all control nodes by name, this one included. */
  nodes: recordOf(name, address),
  signers: signers.default({}),
  timing: z.strictObject({
    heartbeat: duration.prefault('100ms'),
    election_min: duration.prefault('600ms'),
    election_max: duration.prefault('1200ms'),
  }).prefault({}),
})

/** Schema of a proxy daemon's settings file. */
export const proxySchema = z.strictObject({
  name,
  data_centre: name,
  /** Listener for callers. */
  callers: z.strictObject({
    listen: address,
    /** Paths of the PEM certificate and key; both or neither must be set. */
    tls_certificate: z.string().optional(),
    tls_key: z.string().optional(),
    require_tls: z.boolean().default(false),
    /** Passwords by user name; if absent, callers are not authenticated. */
    passwords: recordOf(z.string(), z.string()).optional(),
    max_connections: countFrom(1).default(6000),
    max_batch: size.prefault('16MiB'),
  }),
  /** Listener for other proxies, used when this proxy is a home. */
  link: z.strictObject({ listen: address, advertise: address.optional() }),
  /** Listener for target announcements and status queries. */
  rpc: z.strictObject({ listen: address, advertise: address.optional() }),
  /** Listener for the Prometheus endpoint; disabled if absent. */
  metrics: z.strictObject({ listen: address }).optional(),
  control: listOf(address).refine((list) => list.length > 0, 'must name a control node'),
  signers: signers.default({}),
  targets: z.strictObject({
    user: z.string().default('briarpick'),
    password: z.string().optional(),
    tls: z.boolean().default(false),
  }).prefault({}),
  drain_timeout: duration.prefault('20s'),
})

/** Validated settings of a control daemon; durations in ms. */
export type ControlSettings = z.infer<typeof controlSchema>

/** Validated settings of a proxy daemon; durations in ms, sizes in bytes. */
export type ProxySettings = z.infer<typeof proxySchema>
