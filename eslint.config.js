import { configs, plugins } from 'eslint-config-airbnb-extended';

export default [
  { ignores: ['**/dist/**', '**/node_modules/**', '.cache/**', 'target/**', 'journal/**'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.base.typescript,
  {
    files: ['**/*.ts'],
    rules: {
      // Layout of text belongs to Prettier.
      '@stylistic/max-len': 'off',
      '@stylistic/indent': 'off',
      '@stylistic/operator-linebreak': 'off',
      '@stylistic/implicit-arrow-linebreak': 'off',
      '@stylistic/function-paren-newline': 'off',
      '@stylistic/object-curly-newline': 'off',
      '@stylistic/newline-per-chained-call': 'off',
      '@stylistic/no-confusing-arrow': 'off',
      '@stylistic/no-mixed-operators': 'off',
      '@stylistic/quotes': 'off',
      '@stylistic/brace-style': 'off',
      '@stylistic/generator-star-spacing': 'off',
      '@stylistic/wrap-iife': 'off',
      // A task per connection is a loop that awaits, written straight down.
      'no-await-in-loop': 'off',
      'no-restricted-syntax': 'off',
      'no-continue': 'off',
      // Hashes are made of bits.
      'no-bitwise': 'off',
      'no-plusplus': ['error', { allowForLoopAfterthoughts: true }],
      // Named exports keep one name for one thing across the workspace.
      'import-x/prefer-default-export': 'off',
      'import-x/extensions': 'off',
      'import-x/no-extraneous-dependencies': 'off',
      'import-x/no-named-as-default-member': 'off',
      'import-x/no-named-as-default': 'off',
      'import-x/no-rename-default': 'off',
      // TypeScript and the compiler resolve imports.
      'import-x/no-unresolved': 'off',
      'import-x/no-cycle': 'off',
      '@typescript-eslint/consistent-type-imports': [
        'error',
        { fixStyle: 'separate-type-imports' },
      ],
      'import-x/consistent-type-specifier-style': ['error', 'prefer-top-level'],
      'no-console': 'error',
    },
  },
  {
    // Node.js resolves imports of modules only with their extension.
    files: ['**/*.mjs'],
    rules: { 'import-x/extensions': 'off' },
  },
  {
    files: ['**/*.cjs'],
    languageOptions: { globals: { __dirname: 'readonly' } },
  },
  {
    files: ['scripts/**', 'playground/**', 'packages/cli/**'],
    rules: { 'no-console': 'off' },
  },
];
