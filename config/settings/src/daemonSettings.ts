import * as z from 'zod'
import { address, duration, name, signers, size } from './fields.js'

/** Settings of a control daemon. */
export const controlSchema = z.strictObject({
  name,
  data_centre: name,
  /** The only folder that the daemon writes to. */
  data_folder: z.string().min(1),
  listen: address,
  /** All control nodes, this one too. */
  nodes: z.record(name, address),
  signers: signers.default({}),
  timing: z.strictObject({
    heartbeat: duration.prefault('100ms'),
    election_min: duration.prefault('600ms'),
    election_max: duration.prefault('1200ms'),
  }).prefault({}),
})

/** Settings of a proxy daemon. */
export const proxySchema = z.strictObject({
  name,
  data_centre: name,
  /** Where callers connect. */
  callers: z.strictObject({
    listen: address,
    /** Files of the certificate and key in PEM; both or neither. */
    tls_certificate: z.string().optional(),
    tls_key: z.string().optional(),
    require_tls: z.boolean().default(false),
    /** Passwords by user; no check if absent. */
    passwords: z.record(z.string(), z.string()).optional(),
    max_connections: z.int().min(1).default(6000),
    max_batch: size.prefault('16MiB'),
  }),
  /** Where other proxies connect when this one is a home. */
  link: z.strictObject({ listen: address, advertise: address.optional() }),
  /** Where targets announce themselves, and where status is read. */
  rpc: z.strictObject({ listen: address, advertise: address.optional() }),
  /** Where the Prometheus page is served. */
  metrics: z.strictObject({ listen: address }).optional(),
  control: z.array(address).min(1),
  signers: signers.default({}),
  targets: z.strictObject({
    user: z.string().default('briarpick'),
    password: z.string().optional(),
    tls: z.boolean().default(false),
  }).prefault({}),
  drain_timeout: duration.prefault('20s'),
})

/** Checked settings of a control daemon. */
export type ControlSettings = z.infer<typeof controlSchema>

/** Checked settings of a proxy daemon. */
export type ProxySettings = z.infer<typeof proxySchema>
