import fs from 'node:fs'
import { defineCommand } from 'citty'
import { BriarpickError } from '@briarpick/error'
import { explainRequest } from './explainRequest.js'

/** `briarpick explain` */
export const explainCommand = defineCommand({
  meta: { name: 'explain', description: 'Tell the story of one request from the logs of several processes' },
  args: {
    id: { type: 'positional', required: true, description: 'id that the caller gave to the statement' },
    logs: { type: 'string', required: true, description: 'log files, with commas between', valueHint: 'files' },
    around: { type: 'string', default: '2000', description: 'time before and after the request for which changes of belief are shown, in ms' },
  },
  run ({ args }) {
    const aroundMs = Number(args.around)
    if (!Number.isFinite(aroundMs) || aroundMs < 0) {
      throw new BriarpickError('ERR_BRIARPICK_USAGE', `--around ${args.around} is no time`, { hint: 'give milliseconds, such as 2000' })
    }
    const story = explainRequest(args.id, args.logs.split(',').map(readLog), { aroundMs })
    if (story.isErr) throw story.error
    process.stdout.write(story.value.join('\n') + '\n')
  },
})

function readLog (file: string): string {
  try {
    return fs.readFileSync(file, 'utf8')
  } catch (err) {
    throw new BriarpickError('ERR_BRIARPICK_USAGE', `${file} cannot be read`, { hint: 'name log files with commas between', cause: err })
  }
}
