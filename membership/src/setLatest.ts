/** Number of targets that are remembered, several times that of the largest deployment. */
export const MAX_TARGETS = 16_384

/** Sets an entry as the latest one of a map that keeps `MAX_TARGETS` entries; the one that was not set for longest is dropped. */
export function setLatest<V> (map: Map<string, V>, key: string, value: V): void {
  map.delete(key)
  map.set(key, value)
  if (map.size <= MAX_TARGETS) return
  const [oldest] = map.keys()
  map.delete(oldest)
}
