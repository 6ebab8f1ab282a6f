import { deflateRawSync, inflateRawSync } from 'node:zlib'
import { type RouteTableDocument, type RouteUpdate } from '@briarpick/types'

/** Fastest level: routes shrink to a tenth even so. */
const LEVEL = 1
/** Longest routes that are unpacked, in bytes: the longest document that operators may send, and its table. */
const MAX_UNPACKED_BYTES = 16 * 1024 * 1024

/** Length from which an update is packed, in characters: about what one packet of a network takes. */
const PACKED_FROM_CHARACTERS = 1500

/** Routes as text for the control log and the network between control nodes: compressed JSON in base64. */
export function packRoutes (routes: RouteTableDocument): string {
  return deflate(JSON.stringify(routes))
}

/** The routes that were packed; throws if the text is none of `packRoutes`. */
export function unpackRoutes (packed: string): RouteTableDocument {
  return JSON.parse(inflate(packed)) as RouteTableDocument
}

/** The update, packed if it is long: hundreds of routes take a second on the links of small VMs otherwise. */
export function packUpdate (update: RouteUpdate): RouteUpdate {
  const text = JSON.stringify(update)
  return text.length < PACKED_FROM_CHARACTERS ? update : { kind: 'packed', packed: deflate(text) }
}

/** The update that was packed, or the same one if it was not. */
export function unpackUpdate (update: RouteUpdate): Exclude<RouteUpdate, { readonly kind: 'packed' }> {
  if (update.kind !== 'packed') return update
  return JSON.parse(inflate(update.packed)) as Exclude<RouteUpdate, { readonly kind: 'packed' }>
}

function deflate (text: string): string {
  return deflateRawSync(text, { level: LEVEL }).toString('base64')
}

function inflate (packed: string): string {
  return inflateRawSync(Buffer.from(packed, 'base64'), { maxOutputLength: MAX_UNPACKED_BYTES }).toString('utf8')
}
