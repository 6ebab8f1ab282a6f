import neostandard from 'neostandard'

export default [
  ...neostandard({ ts: true, ignores: ['**/lib/**', 'target/**', '.demo/**', '.bench/**'] }),
  {
    rules: {
      '@stylistic/max-len': ['error', { code: 140, ignoreStrings: true, ignoreTemplateLiterals: true }],
      // It takes variables that a closure sets for constants.
      'no-unmodified-loop-condition': 'off',
    },
  },
]
