/** Part of what nobody wants that is divided evenly; the rest goes by demand. */
const EVEN_PART = 0.5

/**
 * Divides a whole limit between databases by their demands, as fractions of the limit, in the order given. Max-min fairness: a
 * demand below an equal part is met, and the largest demands get equal parts of what is left. What nobody wants is headroom.
 */
export function divideShares (demands: readonly number[]): readonly number[] {
  const shares = demands.map(() => 0)
  const ascending = demands.map((_, i) => i).sort((a, b) => demands[a] - demands[b])
  let left = 1
  ascending.forEach((index, rank) => {
    shares[index] = Math.min(demands[index], left / (ascending.length - rank))
    left -= shares[index]
  })
  const total = shares.reduce((sum, share) => sum + share, 0)
  const headroom = Math.max(0, left)
  return shares.map((share) => share + headroom * (
    EVEN_PART / demands.length + (1 - EVEN_PART) * (total === 0 ? 1 / demands.length : share / total)
  ))
}
