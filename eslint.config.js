import js from '@eslint/js';
import jsdoc from 'eslint-plugin-jsdoc';
import importSort from 'eslint-plugin-simple-import-sort';
import tseslint from 'typescript-eslint';

/** The strictest rule sets of typescript-eslint; `typeRuleExceptions` lists the exceptions. */
const typeRules = [...tseslint.configs.strictTypeChecked, ...tseslint.configs.stylisticTypeChecked];

/** Rules of those sets that are disabled or relaxed, each with its reason. */
const typeRuleExceptions = {
  // Fakes implement asynchronous interfaces without awaiting anything.
  '@typescript-eslint/require-await': 'off',
  // An element at an index within a checked length is defined, but the compiler cannot see that.
  '@typescript-eslint/no-non-null-assertion': 'off',
  // Numbers and booleans may stand in template literals without a conversion.
  '@typescript-eslint/restrict-template-expressions': [
    'error',
    { allowAny: true, allowBoolean: true, allowNullish: true, allowNumber: true, allowRegExp: true },
  ],
  // Short callbacks may return the result of a void call.
  '@typescript-eslint/no-confusing-void-expression': 'off',
  // Values decoded from peers and stores are checked even where their types say that they are present.
  '@typescript-eslint/no-unnecessary-condition': 'off',
};

export default tseslint.config(
  { ignores: ['**/target/', 'node_modules/', 'journal/'] },
  js.configs.recommended,
  ...typeRules.map((config) => ({ ...config, files: ['**/*.ts'] })),
  {
    files: ['**/*.ts'],
    languageOptions: { parserOptions: { project: './tsconfig.test.json', tsconfigRootDir: import.meta.dirname } },
    rules: { ...typeRuleExceptions, '@typescript-eslint/no-shadow': 'error' },
  },
  {
    plugins: { 'simple-import-sort': importSort },
    rules: { 'simple-import-sort/imports': 'error', 'simple-import-sort/exports': 'error' },
  },
  {
    // One step per line, in functions and files that are short enough to be read at once.
    files: ['src/**', 'testing/**', 'test/**', 'packages/**'],
    rules: {
      'no-cond-assign': ['error', 'always'],
      'no-multi-assign': 'error',
      'no-nested-ternary': 'error',
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
    rules: {
      complexity: ['error', 10],
      'max-depth': ['error', 3],
      'max-lines': ['error', { max: 250, skipComments: true, skipBlankLines: true }],
      'max-lines-per-function': ['error', { max: 50, skipComments: true, skipBlankLines: true }],
      'max-params': ['error', 4],
    },
  },
  {
    // Exported declarations have doc comments.
    files: ['src/**', 'packages/*/src/**'],
    plugins: { jsdoc },
    rules: {
      'jsdoc/require-jsdoc': [
        'error',
        {
          publicOnly: true,
          enableFixer: false,
          require: { ClassDeclaration: true, FunctionDeclaration: true },
          contexts: ['TSInterfaceDeclaration', 'TSTypeAliasDeclaration', 'TSEnumDeclaration'],
        },
      ],
    },
  },
  // Test files may be longer: one file holds all scenarios of one kind of fault.
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
