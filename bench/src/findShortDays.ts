import * as z from 'zod'

/** Parts of a journal entry that say what its days served; all other fields are ignored. */
const entrySchema = z.object({
  id: z.string(),
  why: z.string().nullish(),
  site: z.string().nullish(),
  days: z.array(z.object({
    name: z.string(),
    served: z.number().nullish(),
    by_class: z.array(z.number().nullable()).nullish(),
    by_zone: z.array(z.number().nullable()).nullish(),
  })),
})

/** A day on which all requests, those of one kind or those of one data centre earned less than a floor. */
export interface ShortDay {
  readonly entry: string
  readonly site: string
  readonly why: string
  readonly day: string
  /** Worth earned of that owed, from 0 to 1: of the whole day, the least of a kind of request, and the least of a data centre. */
  readonly whole: number
  readonly leastKind: number
  readonly leastDataCentre: number
}

/**
 * Lists the days of a journal entry that earned less than `floor`. Hunts report broken rules only, so a day that served little passes
 * unseen in them. Days that were not played to their end are left out. Throws if the text is no journal entry.
 */
export function findShortDays (text: string, floor: number): readonly ShortDay[] {
  const { id, site, why, days } = entrySchema.parse(JSON.parse(text))
  return days.flatMap(({ name, served, by_class: byClass, by_zone: byZone }) => {
    if (typeof served !== 'number') return []
    const day = { entry: id, site: site ?? '', why: why ?? '', day: name, whole: served, leastKind: leastOf(byClass), leastDataCentre: leastOf(byZone) }
    return Math.min(day.whole, day.leastKind, day.leastDataCentre) < floor ? [day] : []
  })
}

function leastOf (values: ReadonlyArray<number | null> | null | undefined): number {
  return Math.min(1, ...(values ?? []).filter((value) => value !== null))
}
