import js from '@eslint/js';
import tseslint from 'typescript-eslint';

export default tseslint.config(
  { ignores: ['**/target/', 'node_modules/', 'journal/'] },
  js.configs.recommended,
  ...tseslint.configs.recommendedTypeChecked,
  {
    languageOptions: { parserOptions: { project: './tsconfig.test.json', tsconfigRootDir: import.meta.dirname } },
    rules: {
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/require-await': 'off',
    },
  },
  {
    // One step a line, in functions and files that a reader takes in at a time.
    files: ['src/**', 'testing/**', 'test/**', 'packages/**'],
    rules: {
      'no-cond-assign': ['error', 'always'],
      'no-multi-assign': 'error',
      'no-param-reassign': 'error',
      'no-return-assign': 'error',
      'no-sequences': 'error',
      complexity: ['error', 25],
      'max-depth': ['error', 5],
      'max-lines': ['error', 450],
    },
  },
  {
    files: ['src/**', 'testing/**', 'packages/*/src/**'],
    rules: { 'max-lines-per-function': ['error', { max: 80, skipComments: true }] },
  },
  // One place where all duties of a controller are joined.
  { files: ['src/controller/controller.ts'], rules: { 'max-lines-per-function': 'off' } },
  // Scenarios are told one after the other, a file for each kind of fault.
  { files: ['test/**', 'packages/*/test/**'], rules: { 'max-lines': ['error', 500] } },
  { files: ['*.js', 'build/*', 'test/**/*.mjs'], ...tseslint.configs.disableTypeChecked },
  {
    files: ['build/*.js', 'test/**/*.mjs'],
    languageOptions: { globals: { process: 'readonly', console: 'readonly' } },
  },
  {
    files: ['build/*.cjs'],
    languageOptions: { sourceType: 'commonjs', globals: { require: 'readonly' } },
    rules: { '@typescript-eslint/no-require-imports': 'off' },
  },
  // node:test's describe and it return promises that the runner itself awaits.
  { files: ['test/**', 'packages/*/test/**'], rules: { '@typescript-eslint/no-floating-promises': 'off' } },
);
