/** Demand that each database may have at any time, as a fraction of the limit, for which it gets headroom. */
const UNSEEN_DEMAND = 0.01

/**
 * Divides a whole limit between databases by their demands, as fractions of the limit, in the order given. Max-min fairness: a
 * demand below an equal part is met, and the largest demands get equal parts of what is left. What nobody wants is headroom, divided
 * by the square roots of the demands: so much do few independent operations vary.
 */
export function divideShares (demands: readonly number[]): readonly number[] {
  const shares = demands.map(() => 0)
  const ascending = demands.map((_, i) => i).sort((a, b) => demands[a] - demands[b])
  let left = 1
  ascending.forEach((index, rank) => {
    shares[index] = Math.min(demands[index], left / (ascending.length - rank))
    left -= shares[index]
  })
  const weights = demands.map((demand) => Math.sqrt(demand + UNSEEN_DEMAND))
  const total = weights.reduce((sum, weight) => sum + weight, 0)
  const headroom = Math.max(0, left)
  return shares.map((share, i) => share + headroom * weights[i] / total)
}
