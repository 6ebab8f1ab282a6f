import { type DatabaseView } from '@briarpick/types'
import { type ControlState } from './controlState.js'

/** The view of a database; undefined if there is none, also for names that every object has, such as `constructor`. */
export function viewOf ({ views }: ControlState, database: string): DatabaseView | undefined {
  return Object.hasOwn(views, database) ? views[database] : undefined
}
