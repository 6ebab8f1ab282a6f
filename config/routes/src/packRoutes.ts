import { deflateRawSync, inflateRawSync } from 'node:zlib'
import { type RouteTableDocument } from '@briarpick/types'

/** Fastest level: routes shrink to a tenth even so. */
const LEVEL = 1
/** Longest routes that are unpacked, in bytes: the longest document that operators may send, and its table. */
const MAX_UNPACKED_BYTES = 16 * 1024 * 1024

/** Routes as text for the control log and the network between control nodes: compressed JSON in base64. */
export function packRoutes (routes: RouteTableDocument): string {
  return deflateRawSync(JSON.stringify(routes), { level: LEVEL }).toString('base64')
}

/** The routes that were packed; throws if the text is none of `packRoutes`. */
export function unpackRoutes (packed: string): RouteTableDocument {
  return JSON.parse(inflateRawSync(Buffer.from(packed, 'base64'), { maxOutputLength: MAX_UNPACKED_BYTES }).toString('utf8')) as RouteTableDocument
}
