import { deflateRawSync, inflateRawSync } from 'node:zlib'
import { type RouteTableDocument, type RouteUpdate } from '@briarpick/types'

/** The fastest level; it already compresses routes to a tenth. */
const COMPRESSION_LEVEL = 1
/** Maximum size of decompressed routes, in bytes: enough for the largest document that operators may submit and its table. */
const MAX_UNPACKED_BYTES = 16 * 1024 * 1024

/** Length from which an update is compressed, in characters: about the payload of one network packet. */
const COMPRESSION_THRESHOLD_CHARACTERS = 1500

/** Serializes routes for the control log and for transfer between control nodes: deflated JSON in base64. */
export function packRoutes (routes: RouteTableDocument): string {
  return deflate(JSON.stringify(routes))
}

/** Reverses `packRoutes`; throws if the text was not produced by it. */
export function unpackRoutes (packed: string): RouteTableDocument {
  return JSON.parse(inflate(packed)) as RouteTableDocument
}

/** Compresses an update if it is large: uncompressed, hundreds of routes take a second on the network links of small VMs. */
export function packUpdate (update: RouteUpdate): RouteUpdate {
  const text = JSON.stringify(update)
  return text.length < COMPRESSION_THRESHOLD_CHARACTERS ? update : { kind: 'packed', packed: deflate(text) }
}

/** Reverses `packUpdate`; returns an update that is not compressed as it is. */
export function unpackUpdate (update: RouteUpdate): Exclude<RouteUpdate, { readonly kind: 'packed' }> {
  if (update.kind !== 'packed') return update
  return JSON.parse(inflate(update.packed)) as Exclude<RouteUpdate, { readonly kind: 'packed' }>
}

function deflate (text: string): string {
  return deflateRawSync(text, { level: COMPRESSION_LEVEL }).toString('base64')
}

function inflate (packed: string): string {
  return inflateRawSync(Buffer.from(packed, 'base64'), { maxOutputLength: MAX_UNPACKED_BYTES }).toString('utf8')
}
