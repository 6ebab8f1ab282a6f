import fs from 'node:fs'
import { defineCommand } from 'citty'
import { BriarpickError } from '@briarpick/error'
import { explainRequest } from './explainRequest.js'

/** `briarpick explain` */
export const explainCommand = defineCommand({
  meta: { name: 'explain', description: 'Show the timeline of one request from the logs of several processes' },
  args: {
    id: { type: 'positional', required: true, description: 'statement id that the caller sent' },
    logs: { type: 'string', required: true, description: 'comma-separated log files', valueHint: 'files' },
    around: { type: 'string', default: '2000', description: 'time before and after the request for which state changes are shown, in ms' },
  },
  run ({ args }) {
    const aroundMs = Number(args.around)
    if (!Number.isFinite(aroundMs) || aroundMs < 0) {
      throw new BriarpickError('ERR_BRIARPICK_USAGE', `--around ${args.around} is not a time in ms`, { hint: 'use milliseconds, such as 2000' })
    }
    const timeline = explainRequest(args.id, args.logs.split(',').map(readLog), { aroundMs })
    if (timeline.isErr) throw timeline.error
    process.stdout.write(timeline.value.join('\n') + '\n')
  },
})

function readLog (file: string): string {
  try {
    return fs.readFileSync(file, 'utf8')
  } catch (err) {
    throw new BriarpickError('ERR_BRIARPICK_USAGE', `${file} cannot be read`, { hint: 'pass comma-separated paths of readable log files', cause: err })
  }
}
