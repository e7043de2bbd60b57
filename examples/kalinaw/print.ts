/** Prints the declaration as TOML, ready for `anvildeckctl validate` and `apply`. */
import * as declare from 'anvildeck/declare';
import * as example from './declaration.js';

declare.print(example.declaration());
