import tseslint from 'typescript-eslint';

/** Packages by layer, the lowest first; a layer may import only from layers before it. */
const LAYERS = [
  'kernel',
  'contracts',
  'mesh',
  'fakes',
  'configuration',
  'claims',
  'serving',
  'gateway',
  'fleet',
  'daemon',
  'ctl',
  'standins',
];

const noPlatform = {
  group: ['@tanagerdyke/platform'],
  message: 'The product must not know the platform.',
};

/** The bundler drops unused exports of zod only when it is imported as a namespace. */
const zodAsNamespace = {
  selector: "ImportDeclaration[source.value='zod'] > ImportSpecifier[imported.name='z']",
  message: "Write import * as z from 'zod', which keeps the platform's bundle small.",
};

const layerRules = LAYERS.map((layer, index) => {
  const higher = LAYERS.slice(index + 1).map((name) => `@tanagerdyke/${name}`);
  const noHigher = { group: higher, message: 'A lower layer must not import a higher one.' };
  return {
    files: [`packages/${layer}/src/**/*.ts`],
    rules: {
      'no-restricted-imports': [
        'error',
        { patterns: higher.length === 0 ? [noPlatform] : [noPlatform, noHigher] },
      ],
    },
  };
});

const environmentRules = {
  files: ['packages/*/src/common/**/*.ts'],
  ignores: ['**/*.test.ts'],
  rules: {
    'no-restricted-syntax': [
      'error',
      zodAsNamespace,
      {
        selector: 'ImportDeclaration[source.value=/\\/node\\//]',
        message: 'src/common must not import src/node.',
      },
    ],
  },
};

const clockRules = {
  files: ['packages/*/src/**/*.ts', 'platform/src/**/*.ts'],
  ignores: ['packages/kernel/src/**/*.ts', 'packages/gateway/src/node/*.test.ts'],
  rules: {
    'no-restricted-globals': [
      'error',
      { name: 'setTimeout', message: 'Use the clock.' },
      { name: 'setInterval', message: 'Use the clock.' },
    ],
    'no-restricted-properties': [
      'error',
      { object: 'Date', property: 'now', message: 'Use the clock.' },
      { object: 'Math', property: 'random', message: 'Use a RandomSource.' },
      { object: 'performance', property: 'now', message: 'Use the clock.' },
    ],
  },
};

/** Work that nothing waits for has an owner, which keeps a defect in it from ending the process. */
const backgroundRules = {
  files: ['packages/*/src/**/*.ts', 'platform/src/**/*.ts'],
  ignores: ['**/*.test.ts', 'packages/fakes/**', 'packages/standins/**'],
  rules: {
    'no-void': 'error',
    '@typescript-eslint/no-floating-promises': ['error', { ignoreVoid: false }],
  },
};

export default tseslint.config(
  { ignores: ['**/dist/**', '**/node_modules/**', 'out/**', 'target/**', 'journal/**'] },
  ...tseslint.configs.strictTypeChecked,
  ...tseslint.configs.stylisticTypeChecked,
  {
    languageOptions: {
      parserOptions: {
        projectService: {
          allowDefaultProject: ['*.js', '*.ts', 'scripts/*.mjs', 'packages/*/bin/*.js'],
          maximumDefaultProjectFileMatchCount_THIS_WILL_SLOW_DOWN_LINTING: 20,
        },
        tsconfigRootDir: import.meta.dirname,
      },
    },
    rules: {
      'no-restricted-syntax': ['error', zodAsNamespace],
      '@typescript-eslint/restrict-template-expressions': [
        'error',
        { allowNumber: true, allowBoolean: true },
      ],
      '@typescript-eslint/explicit-member-accessibility': [
        'error',
        { overrides: { constructors: 'no-public' } },
      ],
      '@typescript-eslint/no-floating-promises': ['error', { ignoreVoid: true }],
      '@typescript-eslint/consistent-type-imports': ['error', { fixStyle: 'inline-type-imports' }],
    },
  },
  ...layerRules,
  environmentRules,
  clockRules,
  backgroundRules,
  { files: ['**/*.js', '**/*.mjs'], ...tseslint.configs.disableTypeChecked },
);
