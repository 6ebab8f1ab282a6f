import { type Announcement, ORIGIN } from '@briarpick/types'

/** An announcement of a replica that serves. */
export const ANNOUNCEMENT: Announcement = {
  service: 's',
  database: 'd',
  instance: 'a',
  dataCentre: 'centro',
  address: { host: '127.0.0.1', port: 1 },
  role: 'replica',
  term: 0,
  position: ORIGIN,
  state: 'serving',
  startedAt: 100,
  sequence: 1,
  slots: 2,
}
